#include "Crowd.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace camphorstep::crowds {

namespace {

/// A member that does not read keeps little in its own socket.
constexpr int kSmallReceiveBuffer = 4096;

/// Whether a call on a socket may succeed later.
bool
IsTemporary(int aError)
{
  return aError == EAGAIN || aError == EWOULDBLOCK || aError == EINTR ||
         aError == ENOTCONN || aError == EINPROGRESS;
}

void
CloseSocket(int& aSocket)
{
  if (aSocket >= 0) {
    ::close(std::exchange(aSocket, -1));
  }
}

}

Crowd::Crowd(std::uint16_t aPort, Behaviour aBehaviour)
  : mPort(aPort)
  , mBehaviour(std::move(aBehaviour))
  , mMembers(mBehaviour.mMembers)
{
  for (Member& member : mMembers) {
    Open(member);
  }
}

Crowd::~Crowd()
{
  for (Member& member : mMembers) {
    CloseSocket(member.mSocket);
  }
}

bool
Crowd::Advance()
{
  const Clock::time_point now = Clock::now();
  bool moved = false;
  for (Member& member : mMembers) {
    if (member.mSocket >= 0) {
      moved = Send(member, now) || moved;
    }
    if (member.mSocket >= 0 && mBehaviour.mReadBytes > 0) {
      moved = Read(member, now) || moved;
    }
  }
  return moved;
}

bool
Crowd::IsDone() const
{
  return std::all_of(
    mMembers.begin(), mMembers.end(), [](const Member& aMember) {
      return aMember.mIsDone || aMember.mSocket < 0;
    });
}

std::size_t
Crowd::CountOpen() const
{
  return static_cast<std::size_t>(
    std::count_if(mMembers.begin(), mMembers.end(), [](const Member& aMember) {
      return aMember.mSocket >= 0;
    }));
}

void
Crowd::Open(Member& aMember) const
{
  aMember.mSocket =
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (mBehaviour.mReadBytes == 0) {
    ::setsockopt(aMember.mSocket,
                 SOL_SOCKET,
                 SO_RCVBUF,
                 &kSmallReceiveBuffer,
                 sizeof(kSmallReceiveBuffer));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(mPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const int failed = ::connect(aMember.mSocket,
                               reinterpret_cast<const sockaddr*>(&address),
                               sizeof(address));
  if (failed != 0 && !IsTemporary(errno)) {
    CloseSocket(aMember.mSocket);
  }
}

bool
Crowd::Send(Member& aMember, Clock::time_point aNow)
{
  if (aMember.mIsDone || aNow < aMember.mSendsAt) {
    return false;
  }
  if (aMember.mUnsent.empty()) {
    aMember.mUnsent = mBehaviour.mPart(aMember.mNextPart++);
    aMember.mIsDone = aMember.mUnsent.empty();
    if (aMember.mIsDone) {
      return false;
    }
  }
  const ssize_t n =
    ::send(aMember.mSocket,
           aMember.mUnsent.data(),
           std::min(aMember.mUnsent.size(), mBehaviour.mPieceBytes),
           MSG_NOSIGNAL);
  if (n < 0) {
    if (!IsTemporary(errno)) {
      CloseSocket(aMember.mSocket);
    }
    return false;
  }
  aMember.mUnsent.erase(0, static_cast<std::size_t>(n));
  aMember.mSentBytes += static_cast<std::uint64_t>(n);
  mSentBytes += static_cast<std::uint64_t>(n);
  if (aMember.mSentBytes >= mBehaviour.mFastBytes) {
    aMember.mSendsAt = aNow + mBehaviour.mSendPause;
  }
  return true;
}

bool
Crowd::Read(Member& aMember, Clock::time_point aNow)
{
  if (aNow < aMember.mReadsAt) {
    return false;
  }
  std::string buf(mBehaviour.mReadBytes, '\0');
  const ssize_t n =
    ::recv(aMember.mSocket, buf.data(), buf.size(), MSG_DONTWAIT);
  if (n == 0 || (n < 0 && !IsTemporary(errno))) {
    CloseSocket(aMember.mSocket);
    return false;
  }
  aMember.mReadsAt = aNow + mBehaviour.mReadPause;
  return n > 0;
}

}
