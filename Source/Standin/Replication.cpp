#include "Standin/Replication.h"

#include <chrono>
#include <deque>
#include <exception>
#include <optional>

#include "Wire/BlockingChannel.h"
#include "Wire/Codec.h"

namespace camphorstep {

namespace {

constexpr Duration kRetryDelay = std::chrono::milliseconds(20);
constexpr Duration kReplyTimeout = std::chrono::milliseconds(500);
constexpr Duration kApplyInterval = std::chrono::milliseconds(1);

std::optional<Address>
AddressOf(const StandinSettings& aSettings, ServerId aServer)
{
  for (const auto& [name, address] : aSettings.mAddresses) {
    if (IdOf<ServerId>(name) == aServer) {
      return address;
    }
  }
  return std::nullopt;
}

void
Greet(BlockingChannel& aChannel)
{
  ServerRequest hello;
  hello.mOperation = ServerOperation::Hello;
  hello.mText = "replication";
  aChannel.Send(Encode(hello));
  aChannel.Receive();
}

/// Fetches from one leader until it changes or the connection fails.
void
FetchFrom(ServerId aLeader,
          const Address& aAddress,
          DatabaseState& aState,
          const Faults& aFaults)
{
  BlockingChannel channel(aAddress);
  channel.SetTimeout(kReplyTimeout);
  Greet(channel);
  while (aState.Leader() == aLeader && !aFaults.mCutOff && !aFaults.mDown) {
    aFaults.WaitWhilePaused();
    channel.Send(Encode(aState.NextReplicationRequest()));
    const std::optional<std::string> payload = channel.Receive();
    if (!payload) {
      return;
    }
    aFaults.WaitWhilePaused();
    aState.Absorb(Decode<ReplicationReply>(*payload), aLeader);
  }
}

/// When a log length was first seen.
struct LengthSeen
{
  std::size_t mLength = 0;
  std::chrono::steady_clock::time_point mSeenAt;
};

}

void
FollowLeader(const StandinSettings& aSettings,
             DatabaseState& aState,
             const Faults& aFaults)
{
  for (;;) {
    const ServerId leader = aState.Leader();
    const std::optional<Address> address = AddressOf(aSettings, leader);
    if (address && !aFaults.mCutOff && !aFaults.mDown) {
      try {
        FetchFrom(leader, *address, aState, aFaults);
      } catch (const std::exception&) {
        // The leader is away; tried again below.
      }
    }
    SleepFor(kRetryDelay);
  }
}

void
ApplyWithLag(DatabaseState& aState, const Faults& aFaults)
{
  std::deque<LengthSeen> seen;
  for (;;) {
    SleepFor(kApplyInterval);
    aFaults.WaitWhilePaused();
    const auto now = std::chrono::steady_clock::now();
    const std::size_t length = aState.LoggedCount();
    if (seen.empty() || seen.back().mLength != length) {
      seen.push_back({ length, now });
    }
    std::size_t due = 0;
    while (!seen.empty() &&
           now - seen.front().mSeenAt >= Duration(aFaults.mLagMicros)) {
      due = seen.front().mLength;
      if (seen.size() == 1) {
        break;
      }
      seen.pop_front();
    }
    aState.ApplyUpTo(due);
  }
}

}
