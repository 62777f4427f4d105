#pragma once

#include "Gateway/Event.h"

namespace camphorstep {

/// Takes events for the gateway's core, on the thread of its event loop.
class GatewaySink
{
public:
  virtual ~GatewaySink() = default;
  virtual void Deliver(gateway::EventBody aEvent) = 0;
};

}
