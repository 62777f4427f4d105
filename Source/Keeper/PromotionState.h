#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "Common/Time.h"
#include "Messages/ServerMessage.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

enum class PromotionPhase : std::uint8_t
{
  /// Probes all servers of the group on new connections.
  Probe,
  Fence,
  /// Waits for the leases of earlier terms to expire.
  Wait,
  Promote,
  Follow
};

/// A server of the group, as a promoter sees it.
struct PromotionServer
{
  ConnectionId mLink;
  /// Attempts that failed since the last answer.
  int mFailures = 0;
  Instant mNextAttemptAt{};
  /// The latest answer, if any came.
  std::optional<ServerReply> mReply;
  /// The answer to the fence at the promotion's term.
  std::optional<ServerReply> mFenceReply;
  /// The request of the current phase has been sent on the current link.
  bool mRequestSent = false;
  bool mFollows = false;
};

/// A change of primary that this host carries out.
struct Promotion
{
  /// Identifies this attempt to the servers, which grant a term to one promoter
  /// only.
  RequestId mAttemptId;
  PromotionPhase mPhase = PromotionPhase::Probe;
  /// The server that is not chosen if another one has as complete a log.
  ServerId mAvoided;
  bool mPlanned = false;
  /// The highest term known when the promotion started.
  Term mBaseTerm = 0;
  Term mTerm = 0;
  ServerId mCandidate;
  std::map<ServerId, PromotionServer> mServers;
  Instant mLastProgressAt{};
  Instant mStartedAt{};
  Instant mFenceStartedAt{};
  Instant mMajorityFencedAt{};
  Instant mWaitUntil{};
  Instant mPromoteStartedAt{};
  Instant mFollowStartedAt{};
};

}
