#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <future>
#include <mutex>
#include <unordered_map>

#include "Messages/CallerMessage.h"
#include "Shell/EventSink.h"

namespace camphorstep {

/// Brings callers' requests from the listener's threads to the core and the
/// answers back.
class CallGateway
{
public:
  explicit CallGateway(EventSink& aSink);

  /// Tells whether the caller has closed its connection.
  using GoneCheck = std::function<bool()>;

  /// Hands a request to the core and waits for its answer. The core answers
  /// every request by its deadline, and at once when it hears that the caller
  /// is gone.
  CallerAnswer Execute(CallerRequest aRequest, const GoneCheck& aIsGone);

  /// Takes an answer from the core.
  void Complete(CallerAnswer aAnswer);

private:
  EventSink& mSink;
  std::atomic<std::uint64_t> mLastCall{ 0 };
  std::mutex mMutex;
  std::unordered_map<CallId, std::promise<CallerAnswer>> mWaiting;
};

}
