#include "Configuration/ConfigurationState.h"

#include <exception>

#include "Membership/Membership.h"
#include "Reducer/Context.h"
#include "Reducer/SeededFaults.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

void
LogInForce(Context& aContext, const ConfigurationRecord& aRecord)
{
  LogRecord(aContext,
            LogSeverity::Info,
            "configuration in force",
            { { "version", std::to_string(aRecord.mVersion) },
              { "author", aRecord.mAuthor },
              { "change", aRecord.mChangeId } });
}

}

void
HandleConfigurationLoaded(Context& aContext,
                          const Configuration& aConfiguration)
{
  Configuration& current = aContext.mState.mConfiguration.mCurrent;
  if (aConfiguration.mVersion > current.mVersion ||
      IsSeeded(SeededFault::StaleVersion)) {
    current = aConfiguration;
  }
}

void
Install(Context& aContext, const ConfigurationRecord& aRecord)
{
  ConfigurationState& configuration = aContext.mState.mConfiguration;
  if (aRecord.mVersion <= configuration.mCurrent.mVersion ||
      aRecord.mVersion <= configuration.mUnusableVersion) {
    return;
  }
  try {
    configuration.mCurrent = ParseConfiguration(
      ParseIni(aRecord.mText, "version " + std::to_string(aRecord.mVersion)),
      aRecord.mVersion);
  } catch (const std::exception& ex) {
    configuration.mUnusableVersion = aRecord.mVersion;
    LogRecord(aContext,
              LogSeverity::Error,
              "cannot use a published configuration; keeping the present one",
              { { "version", std::to_string(aRecord.mVersion) },
                { "error", ex.what() } });
    return;
  }
  configuration.mRecord = aRecord;
  configuration.mSearchingSince.reset();
  LogInForce(aContext, aRecord);
  SendHeartbeatToNeighbours(aContext);
}

}
