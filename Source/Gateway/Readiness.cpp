#include "Gateway/Readiness.h"

#include "Catalogue/Tables.h"

namespace camphorstep::gateway {

namespace {

/// Finds out whether the configuration is out of date, and when it will be.
void
CheckConfigurationAge(Context& aContext)
{
  Catalogue& catalogue = aContext.mState.mCatalogue;
  const Confirmation confirmation = ConfirmationOfRouting(aContext);
  const bool wasOutOfDate = catalogue.mIsOutOfDate;
  catalogue.mIsOutOfDate = catalogue.mAccounts && IsOutOfDate(confirmation);
  const bool canExpire =
    catalogue.mAccounts && confirmation.mLimit > Duration{ 0 };
  if (canExpire && !catalogue.mIsOutOfDate) {
    aContext.mState.mTimers.Arm(TimerKind::ConfigurationAge,
                                0,
                                aContext.mNow + confirmation.mLimit -
                                  confirmation.mAge);
  }
  if (catalogue.mIsOutOfDate == wasOutOfDate) {
    return;
  }
  Log(aContext,
      catalogue.mIsOutOfDate ? LogSeverity::Warning : LogSeverity::Info,
      catalogue.mIsOutOfDate
        ? "configuration is out of date; callers with a key are refused"
        : "configuration is confirmed again",
      { { "configuration", std::to_string(catalogue.mRoutingVersion) },
        { "age_ms", Milliseconds(confirmation.mAge) } });
}

}

void
UpdateReadiness(Context& aContext)
{
  State& state = aContext.mState;
  CheckConfigurationAge(aContext);
  const bool ready =
    state.mCatalogue.mRoutingVersion != 0 && !state.mCatalogue.mIsOutOfDate &&
    IsTableKnown(aContext, Table::Servers) && !state.mStop.mUnderway;
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
