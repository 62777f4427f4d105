#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <vector>

#include <poll.h>

#include "Standin/LinkDatagrams.h"
#include "Standin/LinkDirection.h"
#include "Standin/LinkFlow.h"
#include "Standin/LinkSettings.h"

namespace camphorstep {

/// Stands in for a link between data centres or regions. Forwards TCP and UDP
/// between addresses, delays each direction, shares a limited rate among all
/// flows of a direction, and fails on demand.
class LinkRelay
{
public:
  explicit LinkRelay(const LinkSettings& aSettings);

  /// Forwards for ever.
  void Run();

  /// Near to far.
  LinkDirection& Forward() { return mForward; }
  /// Far to near.
  LinkDirection& Backward() { return mBackward; }

  /// Makes all connections of now silent for good in a direction.
  void Silence(LinkDirection& aDirection);

  /// Resets all connections of now.
  void ResetConnections() { mResetUpTo = mLastFlow.load(); }

  /// New connections are reset at once while this is set.
  void SetRefusing(bool aRefusing) { mRefusing = aRefusing; }

  std::uint64_t OpenFlows() const { return mOpenFlows; }

private:
  struct Listener
  {
    const ForwardRule* mRule = nullptr;
    FileDescriptor mSocket;
  };

  LinkDirection& There(const ForwardRule& aRule);
  LinkDirection& Back(const ForwardRule& aRule);
  void RunOnce();
  void Accept(const Listener& aListener, Instant aNow);
  void Serve(LinkFlow& aFlow, Instant aNow);
  void CollectSockets(std::vector<pollfd>& aSockets, Instant aNow) const;
  Instant NextDue(Instant aNow) const;

  const LinkSettings& mSettings;
  LinkDirection mForward;
  LinkDirection mBackward;
  std::vector<Listener> mListeners;
  std::list<LinkDatagrams> mDatagrams;
  std::list<LinkFlow> mFlows;
  std::atomic<std::uint64_t> mLastFlow{ 0 };
  std::atomic<std::uint64_t> mResetUpTo{ 0 };
  std::atomic<std::uint64_t> mOpenFlows{ 0 };
  std::atomic<bool> mRefusing{ false };
};

}
