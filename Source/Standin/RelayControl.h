#pragma once

#include "Model/Topology.h"
#include "Standin/ControlPages.h"
#include "Standin/LinkRelay.h"

namespace camphorstep {

/// The control pages of a link relay.
///
/// /control takes any of these:
///   delay_us=N, bytes_per_second=N   new figures of the link
///   cut=none|forward|back|both       streams stand still, datagrams are lost
///   silence=forward|back|both        connections of now are silent for good,
///                                    new ones work
///   reset=1                          resets the connections of now
///   refuse=0|1                       resets new connections at once
/// /status tells the bytes that have crossed each way.
class RelayControl
{
public:
  RelayControl(const Address& aListen, LinkRelay& aRelay);

private:
  void ApplyParams(const cxxtools::QueryParams& aParams);
  void WriteStatus(std::ostream& aOut) const;

  LinkRelay& mRelay;
  ControlPages mPages;
};

}
