#include "Standin/LinkRelay.h"

#include <algorithm>
#include <chrono>
#include <ctime>

#include "Standin/RelaySockets.h"

namespace camphorstep {

namespace {

/// Changes on the control page take hold within this time.
constexpr Duration kMaxSleep = std::chrono::milliseconds(10);

Instant
Now()
{
  using namespace std::chrono;
  return Instant(
    duration_cast<Duration>(steady_clock::now().time_since_epoch()));
}

timespec
ToTimespec(Duration aDuration)
{
  using namespace std::chrono;
  const auto whole = duration_cast<seconds>(aDuration);
  return { whole.count(),
           duration_cast<nanoseconds>(aDuration - whole).count() };
}

void
AddSocket(std::vector<pollfd>& aSockets, int aSocket, bool aIn, bool aOut)
{
  if (aSocket >= 0 && (aIn || aOut)) {
    const int events = (aIn ? POLLIN : 0) | (aOut ? POLLOUT : 0);
    aSockets.push_back({ aSocket, static_cast<short>(events), 0 });
  }
}

}

LinkRelay::LinkRelay(const LinkSettings& aSettings)
  : mSettings(aSettings)
{
  for (LinkDirection* const it : { &mForward, &mBackward }) {
    it->mDelayMicros = aSettings.mDelay.count();
    it->mBytesPerSecond = aSettings.mBytesPerSecond;
  }
  for (const ForwardRule& rule : mSettings.mRules) {
    mListeners.push_back({ &rule, ListenTcp(rule.mListen) });
    mDatagrams.emplace_back(rule, There(rule), Back(rule));
  }
}

LinkDirection&
LinkRelay::There(const ForwardRule& aRule)
{
  return aRule.mIsBackward ? mBackward : mForward;
}

LinkDirection&
LinkRelay::Back(const ForwardRule& aRule)
{
  return aRule.mIsBackward ? mForward : mBackward;
}

void
LinkRelay::Silence(LinkDirection& aDirection)
{
  aDirection.mSilentUpTo = mLastFlow.load();
}

void
LinkRelay::Run()
{
  for (;;) {
    RunOnce();
  }
}

void
LinkRelay::RunOnce()
{
  Instant now = Now();
  std::vector<pollfd> sockets;
  CollectSockets(sockets, now);
  const Duration sleep =
    std::clamp(NextDue(now) - now, Duration{ 0 }, kMaxSleep);
  const timespec timeout = ToTimespec(sleep);
  ::ppoll(sockets.data(), sockets.size(), &timeout, nullptr);

  now = Now();
  for (const Listener& listener : mListeners) {
    Accept(listener, now);
  }
  for (LinkDatagrams& it : mDatagrams) {
    it.Receive(now);
    it.Deliver(now);
  }
  for (LinkFlow& flow : mFlows) {
    Serve(flow, now);
  }
  mFlows.remove_if(IsOver);
  mOpenFlows = mFlows.size();
}

void
LinkRelay::CollectSockets(std::vector<pollfd>& aSockets, Instant aNow) const
{
  for (const Listener& listener : mListeners) {
    AddSocket(aSockets, listener.mSocket.Get(), true, false);
  }
  for (const LinkDatagrams& it : mDatagrams) {
    it.AddSockets(aSockets);
  }
  for (const LinkFlow& flow : mFlows) {
    AddSocket(aSockets,
              flow.mCaller.Get(),
              WantsInput(flow, flow.mThere, aNow),
              WantsOutput(flow.mBack, aNow));
    AddSocket(aSockets,
              flow.mTarget.Get(),
              WantsInput(flow, flow.mBack, aNow),
              WantsOutput(flow.mThere, aNow));
  }
}

Instant
LinkRelay::NextDue(Instant aNow) const
{
  Instant next = Instant::max();
  const auto consider = [&next, aNow](Instant aTime) {
    if (aTime > aNow) {
      next = std::min(next, aTime);
    }
  };
  for (const LinkDatagrams& it : mDatagrams) {
    consider(it.NextArrival());
  }
  for (const LinkFlow& flow : mFlows) {
    consider(flow.mReadFrom);
    consider(flow.mConnectAt);
    for (const HalfFlow* const half : { &flow.mThere, &flow.mBack }) {
      if (!half->mChunks.empty()) {
        consider(half->mChunks.front().mArrives);
      }
    }
  }
  return next;
}

void
LinkRelay::Accept(const Listener& aListener, Instant aNow)
{
  for (;;) {
    FileDescriptor socket = AcceptTcp(aListener.mSocket.Get());
    if (!socket.IsOpen()) {
      return;
    }
    if (mRefusing) {
      ResetOnClose(socket.Get());
      continue;
    }
    const ForwardRule& rule = *aListener.mRule;
    const Duration there(There(rule).mDelayMicros);
    const Duration back(Back(rule).mDelayMicros);
    LinkFlow flow;
    flow.mNumber = ++mLastFlow;
    flow.mCaller = std::move(socket);
    flow.mTargetAddress = rule.mTarget;
    // A handshake takes a round trip, and its last part another half.
    flow.mReadFrom = aNow + there + back;
    flow.mConnectAt = flow.mReadFrom + there;
    flow.mThere.mDirection = &There(rule);
    flow.mBack.mDirection = &Back(rule);
    mFlows.push_back(std::move(flow));
  }
}

void
LinkRelay::Serve(LinkFlow& aFlow, Instant aNow)
{
  if (aFlow.mNumber <= mResetUpTo) {
    ResetOnClose(aFlow.mCaller.Get());
    ResetOnClose(aFlow.mTarget.Get());
    aFlow.mFailed = true;
    return;
  }
  bool good = true;
  if (WantsInput(aFlow, aFlow.mThere, aNow)) {
    good = ReadOnto(aFlow.mThere, aFlow.mNumber, aFlow.mCaller.Get(), aNow);
  }
  if (!aFlow.mTarget.IsOpen()) {
    if (aNow >= aFlow.mConnectAt && !aFlow.mThere.mDirection->mCut) {
      aFlow.mTarget = StartConnect(aFlow.mTargetAddress);
      good = good && aFlow.mTarget.IsOpen();
    }
    aFlow.mFailed = !good;
    return;
  }
  if (WantsInput(aFlow, aFlow.mBack, aNow)) {
    good =
      good && ReadOnto(aFlow.mBack, aFlow.mNumber, aFlow.mTarget.Get(), aNow);
  }
  good = good && WriteArrived(aFlow.mThere, aFlow.mTarget.Get(), aNow);
  good = good && WriteArrived(aFlow.mBack, aFlow.mCaller.Get(), aNow);
  aFlow.mFailed = !good;
}

}
