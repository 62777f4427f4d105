#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "RateLimits/Allowance.h"
#include "RateLimits/Share.h"
#include "Wire/Packed.h"

namespace camphorstep::gateway {

/// Queries the granter for shares.
struct SharesQueried
{
  /// Increases with each query of a process; the report repeats it.
  std::uint64_t mNumber = 0;
  /// The name of the querying host.
  std::string mHost;
  ShareQuery mQuery;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mNumber);
    aArchive(mHost, mQuery);
  }
};

/// The granter's answer.
struct SharesReported
{
  std::uint64_t mNumber = 0;
  ShareReport mReport;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mNumber);
    aArchive(mReport);
  }
};

/// Queries the source for tokens of an account.
struct TokensQueried
{
  AccountId mAccount;
  TokensWanted mWanted;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount);
    ArchivePacked(aArchive, mWanted.mNumber);
    ArchivePacked(aArchive, mWanted.mCount);
  }
};

/// The source's answer.
struct TokensReported
{
  AccountId mAccount;
  TokensGiven mGiven;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mAccount);
    ArchivePacked(aArchive, mGiven.mNumber);
    ArchivePacked(aArchive, mGiven.mCount);
    ArchivePacked(aArchive, mGiven.mRetryAfter);
  }
};

/// What a host asks its source about accounts' limits.
using RateLimitQuery = std::variant<SharesQueried, TokensQueried>;

/// What the source answers.
using RateLimitReport = std::variant<SharesReported, TokensReported>;

}
