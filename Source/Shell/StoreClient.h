#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "Messages/Effect.h"
#include "Model/Topology.h"
#include "Shell/EventSink.h"

namespace cxxtools::http {
class Client;
}

namespace camphorstep {

/// Carries out operations on the platform's services. Every operation is
/// answered within a time limit by one event; what to ask and what a missing
/// answer means is decided in the core. The HTTP client may send a request
/// again on a connection that turns out to be closed, which is harmless:
/// transactions depend on row versions and take effect once.
class StoreClient
{
public:
  /// Without an address every operation fails at once.
  StoreClient(EventSink& aSink, const Address& aAddress);
  ~StoreClient();

  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  void Read(const StoreRead& aEffect);
  void Write(const StoreWrite& aEffect);
  void ReadList(const ReadHostList& aEffect);

private:
  /// Runs on a worker with its own client and gives the event to post.
  using Job = std::function<EventBody(cxxtools::http::Client&)>;

  void Enqueue(Job aJob);
  void Work();
  bool TakeJob(Job& aJob);

  EventSink& mSink;
  Address mAddress;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<Job> mJobs;
  bool mEnding = false;
  std::vector<std::thread> mWorkers;
};

}
