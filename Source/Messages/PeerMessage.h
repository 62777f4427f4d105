#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "Common/Time.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/Position.h"
#include "Model/Profile.h"
#include "Model/ResultCode.h"

namespace camphorstep {

/// What an entry host knows about a backend server: a sample that the
/// server's dispatcher took.
struct ServerView
{
  ServerId mServer;
  Term mTerm = 0;
  ServerRole mRole = ServerRole::Replica;
  Position mApplied;
  std::vector<Position> mTermStarts;
  /// How long before the message that asked for the view arrived the sample
  /// was requested from the server; zero if it was requested later. The
  /// entry subtracts it from the time at which it asked, which bounds the
  /// sample's age without a shared clock.
  Duration mAge{ 0 };

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer, mTerm, mRole, mApplied, mTermStarts, mAge);
  }
};

/// A caller's request on its way from the entry host to the dispatcher of
/// the chosen backend server.
struct ForwardRequest
{
  RequestId mId;
  /// Counts the attempts of this request, so that the answer to an earlier
  /// one is not taken for the answer to this one.
  std::uint32_t mAttempt = 0;
  ServerId mServer;
  ServerOperation mOperation = ServerOperation::Run;
  std::string mText;
  bool mWrite = false;
  std::string mKey;
  std::string mService;
  Rank mRank = Rank::Normal;
  Durability mDurability = Durability::Primary;
  /// Whether only the leased primary may serve the request.
  bool mNeedsPrimary = false;
  /// The least position that a read may show.
  Position mMinPosition;
  Duration mReplicaWait{ 0 };
  /// Time left until the caller's deadline.
  Duration mTimeLeft{ 0 };
  /// The open transaction that the request belongs to, or all zero.
  TransactionId mTransaction;
  Duration mTransactionIdleTimeout{ 0 };

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mAttempt, mServer, mOperation, mText, mWrite, mKey);
    aArchive(mService, mRank);
    aArchive(mDurability,
             mNeedsPrimary,
             mMinPosition,
             mReplicaWait,
             mTimeLeft,
             mTransaction,
             mTransactionIdleTimeout);
  }
};

/// A dispatcher's answer to a ForwardRequest.
struct ForwardAnswer
{
  RequestId mId;
  std::uint32_t mAttempt = 0;
  ResultCode mCode = ResultCode::Ok;
  Outcome mOutcome = Outcome::Done;
  std::string mResult;
  /// The position that the session has seen now.
  Position mPosition;
  /// How long after the request's arrival at the dispatcher the answer may
  /// still be given to the caller. The entry counts from when it sent the
  /// request, which is earlier.
  Duration mValidFor{ Duration::max() };
  /// When to try again, for refusals.
  Duration mRetryAfter{ 0 };
  ServerView mView;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId,
             mAttempt,
             mCode,
             mOutcome,
             mResult,
             mPosition,
             mValidFor,
             mRetryAfter,
             mView);
  }
};

/// Tells a dispatcher that nobody waits for a request any more.
struct CancelRequest
{
  RequestId mId;
  ServerId mServer;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mServer);
  }
};

/// Asks a dispatcher for its view of a backend server.
struct ViewRequest
{
  RequestId mId;
  ServerId mServer;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mServer);
  }
};

struct ViewReply
{
  RequestId mId;
  ServerView mView;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mId, mView);
  }
};

/// A sign of life, with what the sender says of itself.
struct Heartbeat
{
  bool mLeaving = false;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mLeaving);
  }
};

/// Tells of a new primary.
struct PrimaryNotice
{
  ServerView mView;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mView);
  }
};

/// Asks the dispatcher of a primary that is to leave to have it replaced.
struct SwitchOverRequest
{
  ServerId mServer;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mServer);
  }
};

/// Everything that hosts say to each other over TCP.
using PeerMessage = std::variant<ForwardRequest,
                                 ForwardAnswer,
                                 CancelRequest,
                                 ViewRequest,
                                 ViewReply,
                                 Heartbeat,
                                 PrimaryNotice,
                                 SwitchOverRequest>;

}
