#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Accounts/KeyDigest.h"
#include "Gateway/Effect.h"
#include "Gateway/Ids.h"
#include "Gateway/Statement.h"
#include "Wire/Packed.h"

namespace camphorstep::gateway {

// Messages of a connection that passes sessions on. The host that opens it is
// the entry host of the sessions, the one that accepts it their owner. Its
// first frame is a PeerMessage that holds a RelayGreeting.

template<typename Archive>
void
serialize(Archive& aArchive, Statement& aStatement)
{
  aArchive(aStatement.mId,
           aStatement.mKind,
           aStatement.mText,
           aStatement.mName,
           aStatement.mArgument,
           aStatement.mWrites);
  if constexpr (Archive::is_loading::value) {
    aStatement.mKind = std::min(aStatement.mKind, StatementKind::Malformed);
  }
}

/// The session's number means nothing to the other host and is not sent.
template<typename Archive>
void
serialize(Archive& aArchive, AnswerCaller& aAnswer)
{
  aArchive(aAnswer.mCode,
           aAnswer.mRows,
           aAnswer.mSignature,
           aAnswer.mErrorText,
           aAnswer.mState,
           aAnswer.mPosition);
  if constexpr (Archive::is_loading::value) {
    aAnswer.mState = std::min(aAnswer.mState, TransactionState::Failed);
  }
}

/// Opens a session at the owner.
struct RelayOpening
{
  std::string mDatabase;
  KeyDigest mKey;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mDatabase, mKey);
  }
};

/// Ends a session. The owner tells how many of its statements it has received;
/// one beyond them has certainly not run.
struct RelayEnd
{
  std::uint64_t mStatements = 0;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mStatements);
  }
};

/// The owner has opened the session.
struct RelayAcceptance
{
  template<typename Archive>
  void serialize(Archive&)
  {
  }
};

/// The owner has not opened the session.
struct RelayRefusal
{
  ResultCode mCode = ResultCode::Ok;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mCode);
  }
};

/// Rows of the answer that follows, which is too large for one frame.
struct RelayRows
{
  std::vector<std::string> mRows;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mRows);
  }
};

/// A message of the entry host on one session.
struct RelayRequest
{
  RelayId mRelay;
  std::variant<RelayOpening, Statement, RelayEnd> mBody;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mRelay.mValue);
    aArchive(mBody);
  }
};

/// A message of the owner on one session.
struct RelayResponse
{
  RelayId mRelay;
  std::variant<RelayAcceptance, RelayRefusal, RelayRows, AnswerCaller, RelayEnd>
    mBody;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    ArchivePacked(aArchive, mRelay.mValue);
    aArchive(mBody);
  }
};

}
