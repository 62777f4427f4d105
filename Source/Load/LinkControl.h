#pragma once

#include <cstdint>
#include <string>

#include "Model/Topology.h"

namespace camphorstep {

/// The bytes that have crossed a link so far.
struct LinkBytes
{
  std::uint64_t mForward = 0;
  std::uint64_t mBack = 0;

  std::uint64_t Total() const { return mForward + mBack; }
};

/// Reads a link relay's counts from its control page; throws if the relay
/// does not answer.
LinkBytes ReadLinkBytes(const Address& aControl);

/// Gives a link relay an order, such as "cut=both"; the orders are listed in
/// Standin/RelayControl.h.
void ControlLink(const Address& aControl, const std::string& aOrder);

}
