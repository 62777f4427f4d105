#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace camphorstep::crowds {

/// How the members of a crowd behave, all alike.
struct Behaviour
{
  std::size_t mMembers = 0;
  /// Makes the parts that a member sends, by their number; an empty part is
  /// the end.
  std::function<std::string(std::size_t)> mPart;
  /// The most bytes that a member sends at a time, and its pause afterwards.
  std::size_t mPieceBytes = 64 * 1024;
  std::chrono::milliseconds mSendPause{ 0 };
  /// The number of bytes that a member sends at full speed first.
  std::size_t mFastBytes = 0;
  /// The most bytes that a member reads at a time, and its pause afterwards;
  /// a member that reads nothing has 0.
  std::size_t mReadBytes = 0;
  std::chrono::milliseconds mReadPause{ 0 };
};

/// Connections to a loopback port that behave alike, driven by one thread.
class Crowd
{
public:
  Crowd(std::uint16_t aPort, Behaviour aBehaviour);
  ~Crowd();

  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Has each member send and read what it may. Returns whether one did.
  bool Advance();

  /// Whether all members have sent what they have, or were closed.
  bool IsDone() const;

  /// The number of members whose connection stands.
  std::size_t CountOpen() const;

  std::uint64_t SentBytes() const { return mSentBytes; }

private:
  using Clock = std::chrono::steady_clock;

  struct Member
  {
    int mSocket = -1;
    std::size_t mNextPart = 0;
    std::string mUnsent;
    bool mIsDone = false;
    std::uint64_t mSentBytes = 0;
    Clock::time_point mSendsAt;
    Clock::time_point mReadsAt;
  };

  void Open(Member& aMember) const;
  bool Send(Member& aMember, Clock::time_point aNow);
  bool Read(Member& aMember, Clock::time_point aNow);

  std::uint16_t mPort;
  Behaviour mBehaviour;
  std::vector<Member> mMembers;
  std::uint64_t mSentBytes = 0;
};

}
