#pragma once

#include "Messages/Event.h"

namespace camphorstep {

/// Takes events for the core, each stamped with the time of its delivery.
class EventSink
{
public:
  virtual ~EventSink() = default;

  /// Hands an event over from any thread; it is handled later, in order.
  virtual void Post(EventBody aEvent) = 0;

  /// Handles an event at once; only from the thread of the event loop.
  virtual void Deliver(EventBody aEvent) = 0;
};

}
