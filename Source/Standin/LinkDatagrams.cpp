#include "Standin/LinkDatagrams.h"

#include <algorithm>
#include <array>

#include <sys/socket.h>

#include "Standin/RelaySockets.h"

namespace camphorstep {

namespace {

constexpr std::size_t kMaxDatagram = 65'536;

/// Whether the link loses a datagram that comes now.
bool
Loses(LinkDirection& aDirection, Instant aNow)
{
  if (!aDirection.mCut && !IsCongested(aDirection, aNow)) {
    return false;
  }
  ++aDirection.mDatagramsLost;
  return true;
}

}

LinkDatagrams::LinkDatagrams(const ForwardRule& aRule,
                             LinkDirection& aThere,
                             LinkDirection& aBack)
  : mRule(aRule)
  , mThereDirection(aThere)
  , mBackDirection(aBack)
  , mListener(BindUdp(aRule.mListen))
{
}

void
LinkDatagrams::AddSockets(std::vector<pollfd>& aSockets) const
{
  aSockets.push_back({ mListener.Get(), POLLIN, 0 });
  for (const auto& [key, sender] : mSenders) {
    aSockets.push_back({ sender.mSocket.Get(), POLLIN, 0 });
  }
}

void
LinkDatagrams::Receive(Instant aNow)
{
  ReceiveFromSenders(aNow);
  for (const auto& [key, sender] : mSenders) {
    ReceiveFromTarget(key, sender.mSocket.Get(), aNow);
  }
}

void
LinkDatagrams::ReceiveFromSenders(Instant aNow)
{
  std::array<char, kMaxDatagram> buf;
  for (;;) {
    sockaddr_in address{};
    socklen_t size = sizeof(address);
    const ssize_t n =
      ::recvfrom(mListener.Get(),
                 buf.data(),
                 buf.size(),
                 0,
                 reinterpret_cast<sockaddr*>(&address), // NOLINT
                 &size);
    if (n < 0) {
      return;
    }
    const SenderKey key{ address.sin_addr.s_addr, address.sin_port };
    if (!mSenders.contains(key)) {
      mSenders[key] = Sender{ address, ConnectUdp(mRule.mTarget) };
    }
    if (!Loses(mThereDirection, aNow)) {
      const auto length = static_cast<std::size_t>(n);
      mThere.push_back({ Transmit(mThereDirection, aNow, length),
                         std::string(buf.data(), length),
                         key });
    }
  }
}

void
LinkDatagrams::ReceiveFromTarget(const SenderKey& aKey,
                                 int aSocket,
                                 Instant aNow)
{
  std::array<char, kMaxDatagram> buf;
  for (;;) {
    const ssize_t n = ::recv(aSocket, buf.data(), buf.size(), 0);
    if (n < 0) {
      return;
    }
    if (!Loses(mBackDirection, aNow)) {
      const auto length = static_cast<std::size_t>(n);
      mBack.push_back({ Transmit(mBackDirection, aNow, length),
                        std::string(buf.data(), length),
                        aKey });
    }
  }
}

void
LinkDatagrams::Deliver(Instant aNow)
{
  for (; !mThere.empty() && mThere.front().mArrives <= aNow;
       mThere.pop_front()) {
    const Datagram& it = mThere.front();
    ::send(mSenders.at(it.mSender).mSocket.Get(),
           it.mBytes.data(),
           it.mBytes.size(),
           MSG_NOSIGNAL);
  }
  for (; !mBack.empty() && mBack.front().mArrives <= aNow; mBack.pop_front()) {
    const Datagram& it = mBack.front();
    const sockaddr_in& to = mSenders.at(it.mSender).mAddress;
    ::sendto(mListener.Get(),
             it.mBytes.data(),
             it.mBytes.size(),
             MSG_NOSIGNAL,
             reinterpret_cast<const sockaddr*>(&to), // NOLINT
             sizeof(to));
  }
}

Instant
LinkDatagrams::NextArrival() const
{
  Instant next = Instant::max();
  if (!mThere.empty()) {
    next = std::min(next, mThere.front().mArrives);
  }
  if (!mBack.empty()) {
    next = std::min(next, mBack.front().mArrives);
  }
  return next;
}

}
