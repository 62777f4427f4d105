#pragma once

#include <atomic>
#include <cstdint>
#include <future>
#include <mutex>
#include <unordered_map>

#include "Messages/OperatorMessage.h"
#include "Shell/EventSink.h"

namespace camphorstep {

/// Brings operators' requests from the listener's threads to the core and
/// the answers back.
class OperatorGateway
{
public:
  explicit OperatorGateway(EventSink& aSink);

  /// Hands a request to the core and waits for its answer.
  OperatorAnswer Execute(OperatorRequest aRequest);

  /// Takes an answer from the core.
  void Complete(OperatorAnswer aAnswer);

private:
  EventSink& mSink;
  std::atomic<std::uint64_t> mLastCall{ 0 };
  std::mutex mMutex;
  std::unordered_map<OperatorCallId, std::promise<OperatorAnswer>> mWaiting;
};

}
