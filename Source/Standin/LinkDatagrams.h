#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <netinet/in.h>
#include <poll.h>

#include "Common/Time.h"
#include "Standin/FileDescriptor.h"
#include "Standin/LinkDirection.h"
#include "Standin/LinkSettings.h"

namespace camphorstep {

/// Carries the datagrams of one forwarding rule over a link. Each sender gets
/// a socket of its own towards the target, so that answers find their way
/// back.
class LinkDatagrams
{
public:
  LinkDatagrams(const ForwardRule& aRule,
                LinkDirection& aThere,
                LinkDirection& aBack);

  void AddSockets(std::vector<pollfd>& aSockets) const;
  /// Takes what has come in.
  void Receive(Instant aNow);
  /// Sends what has arrived at the other side.
  void Deliver(Instant aNow);
  /// When the next datagram arrives.
  Instant NextArrival() const;

private:
  /// A sender as IP address and port, both in network order.
  using SenderKey = std::pair<std::uint32_t, std::uint16_t>;

  struct Sender
  {
    sockaddr_in mAddress{};
    FileDescriptor mSocket;
  };

  struct Datagram
  {
    Instant mArrives{};
    std::string mBytes;
    SenderKey mSender;
  };

  void ReceiveFromSenders(Instant aNow);
  void ReceiveFromTarget(const SenderKey& aKey, int aSocket, Instant aNow);

  const ForwardRule& mRule;
  LinkDirection& mThereDirection;
  LinkDirection& mBackDirection;
  FileDescriptor mListener;
  std::map<SenderKey, Sender> mSenders;
  std::deque<Datagram> mThere;
  std::deque<Datagram> mBack;
};

}
