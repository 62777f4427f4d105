#pragma once

#include <memory>

#include "Standin/DatabaseServer.h"
#include "Standin/DatabaseState.h"
#include "Standin/Faults.h"
#include "Standin/StandinSettings.h"

namespace camphorstep {

/// The HTTP listener with which tests steer a stand-in server:
///   /control?lag_ms=N&statement_us=N&cut_off=0|1&down=0|1&paused=0|1&silence=1
///   /log     the server's log as JSON
///   /status  term, role and positions as JSON
///   /counts  statements received so far as JSON
class StandinControl
{
public:
  StandinControl(const StandinSettings& aSettings,
                 DatabaseServer& aServer,
                 DatabaseState& aState,
                 Faults& aFaults);
  ~StandinControl();

  StandinControl(const StandinControl&) = delete;
  StandinControl& operator=(const StandinControl&) = delete;

private:
  class Impl;
  std::unique_ptr<Impl> mImpl;
};

}
