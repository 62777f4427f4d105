#include "Gateway/Readiness.h"

#include "Catalogue/Tables.h"

namespace camphorstep::gateway {

void
UpdateReadiness(Context& aContext)
{
  State& state = aContext.mState;
  const bool ready = state.mCatalogue.mRoutingVersion != 0 &&
                     IsTableKnown(aContext, Table::Servers) &&
                     !state.mStop.mUnderway;
  if (ready == state.mReady) {
    return;
  }
  state.mReady = ready;
  Log(aContext,
      LogSeverity::Info,
      ready ? "host is ready" : "host is not ready",
      { { "configuration", std::to_string(state.mCatalogue.mRoutingVersion) },
        { "servers", std::to_string(state.mBackends.size()) } });
  Emit(aContext, SetReady{ ready });
}

}
