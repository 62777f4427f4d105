#pragma once

#include <functional>
#include <string>

#include <cxxtools/connectable.h>
#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>
#include <cxxtools/selector.h>

#include "Load/HttpCaller.h"
#include "Model/Topology.h"

namespace camphorstep {

/// A caller on an event loop that keeps one HTTP connection to a proxy and
/// makes one call at a time.
class AsyncCaller : public cxxtools::Connectable
{
public:
  using OnResult = std::function<void(const CallResult&)>;

  AsyncCaller(cxxtools::SelectorBase& aLoop,
              const Address& aProxy,
              std::string aToken);

  /// Starts a call. The handler is called once, with an unanswered result if
  /// the connection failed.
  void Start(const Call& aCall, OnResult aOnResult);

private:
  std::size_t OnBody(cxxtools::http::Client& aClient);
  void OnFinished(cxxtools::http::Client& aClient);
  void Complete(const CallResult& aResult);

  cxxtools::http::Client mClient;
  cxxtools::http::Request mRequest;
  std::string mToken;
  std::string mBody;
  OnResult mOnResult;
};

}
