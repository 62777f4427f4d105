#pragma once

#include <cstdint>
#include <span>
#include <string_view>

namespace camphorstep {

/// What is known of a request when its answer is given.
enum class Outcome : std::uint8_t
{
  Done,
  NotRun,
  Unknown
};

/// Numbered results, as they stand in answers, logs and docs/RESULT-CODES.md.
/// Hundreds group them: 0 success, 1 bad request, 2 refusal under load,
/// 3 consistency, 4 failure underway, 5 operator requests, 6 settings.
enum class ResultCode : std::uint16_t
{
  Ok = 0,
  Replayed = 1,

  MalformedRequest = 101,
  RequestTooLarge = 102,
  Unauthenticated = 103,
  UnknownDatabase = 104,
  UnknownService = 105,
  InvalidToken = 106,
  UnknownTransaction = 107,
  InvalidField = 108,
  AccessViolation = 109,
  StatementFailed = 110,
  UnknownKey = 111,
  UnknownPath = 112,
  WrongMethod = 113,
  UnknownStatement = 114,

  Overloaded = 201,
  DeadlineExceeded = 202,
  TransactionLimit = 203,
  Stopping = 204,
  TooManyConnections = 205,
  RateLimited = 206,

  HistoryLost = 301,
  ReplicaBehind = 302,

  NoPrimary = 401,
  ConnectionLost = 402,
  HostUnreachable = 403,
  LeaseExpired = 404,
  TransactionAborted = 405,
  NotReplicated = 406,
  PrimaryChanged = 407,
  WrongServer = 408,

  VersionConflict = 501,
  InvalidProfile = 502,
  StoreUnavailable = 503,
  NoConfiguration = 504,
  ConfigurationStale = 505,

  InvalidSettings = 601,
};

/// A row of the table of result codes.
struct ResultCodeRow
{
  ResultCode mCode;
  std::string_view mName;
  std::string_view mMeaning;
};

/// All result codes in numeric order.
std::span<const ResultCodeRow> ResultCodeTable();

std::string_view NameOf(ResultCode aCode);

std::string_view NameOf(Outcome aOutcome);

}
