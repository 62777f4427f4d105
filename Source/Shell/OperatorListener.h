#pragma once

#include <memory>

#include "Settings/Settings.h"
#include "Shell/EventSink.h"
#include "Shell/StatusSnapshot.h"

namespace camphorstep {

/// Serves operators over HTTP on a listener of their own: /health for the
/// balancer, without a token, /v1/status, and /v1/switch-over?server=NAME,
/// which has a primary that is to leave replaced.
class OperatorListener
{
public:
  OperatorListener(const Settings& aSettings,
                   const StatusBoard& aBoard,
                   EventSink& aSink);
  ~OperatorListener();

  OperatorListener(const OperatorListener&) = delete;
  OperatorListener& operator=(const OperatorListener&) = delete;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
