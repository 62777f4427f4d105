#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "Messages/Effect.h"
#include "Messages/Event.h"
#include "Reducer/State.h"

namespace camphorstep::benchmarks {

/// How much a core knows and does.
struct Sizes
{
  std::size_t mHosts = 200;
  std::size_t mDatabases = 100;
  std::size_t mProfiles = 10;
};

/// One core in virtual time, with a driver that plays everything around it:
/// peers answer what they are asked, servers answer what they are sent.
class CoreDriver
{
public:
  explicit CoreDriver(const Sizes& aSizes);

  /// Applies an event and all answers that it brings about.
  void Apply(EventBody aEvent);

  /// Lets one tick's time pass.
  void Tick();

  /// Hands in a caller's read or write on a database.
  void Request(std::size_t aDatabase, bool aWrite);

  /// Has every peer give a sign of life.
  void Heartbeats();

  /// Puts a configuration of as many profiles into force.
  void Configure(std::uint64_t aVersion);

  std::uint64_t Events() const { return mEvents; }
  std::uint64_t Answers() const { return mAnswers; }
  /// Bytes of all frames that the core has sent to peers.
  std::uint64_t WireBytes() const { return mWireBytes; }
  std::size_t Databases() const { return mSizes.mDatabases; }

  State mState;
  /// Whether to add up the frames sent; it costs encoding them.
  bool mCountsWire = false;
  /// Whether servers answer at all.
  bool mAnswersServers = true;

private:
  void Handle(const Effect& aEffect);
  void SendPeerReport(const SendToPeer& aEffect);
  void AnswerServer(const SendToServer& aEffect);
  ServerView MakeView(ServerId aServer) const;
  bool IsPrimary(ServerId aServer) const;

  Sizes mSizes;
  Instant mNow{ std::chrono::seconds(1'000) };
  std::deque<EventBody> mAgenda;
  std::map<ConnectionId, ServerId> mConnections;
  std::uint64_t mEvents = 0;
  std::uint64_t mAnswers = 0;
  std::uint64_t mCalls = 0;
  std::uint64_t mWireBytes = 0;
  std::uint64_t mIndex = 1;
};

}
