#pragma once

#include <memory>

#include "Model/Topology.h"

namespace camphorstep {

/// Serves the table service (docs/TABLE-SERVICE.md) on one address and, on
/// another, the page with which tests steer it:
///   /control?down=0|1&slow_ms=N&lost_before=PERCENT&lost_after=PERCENT
///           &seed=N&hosts_lag_ms=N
///   /machine?name=N&kind=entry|server&state=live|leaving|gone&generation=N
///   /counters  operations carried out, as JSON
class PlatformServer
{
public:
  PlatformServer(const Address& aListen, const Address& aControl);
  ~PlatformServer();

  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;

  /// Serves until the process ends.
  void Run();

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
