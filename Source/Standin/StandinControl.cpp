#include "Standin/StandinControl.h"

#include <ostream>
#include <string>

#include <cxxtools/json.h>
#include <cxxtools/query_params.h>
#include <cxxtools/serializationinfo.h>

#include "Standin/ControlPages.h"

namespace camphorstep {

// Found by argument-dependent lookup, so not in the anonymous namespace.
static void
operator<<=(cxxtools::SerializationInfo& aInfo, const LogEntry& aEntry)
{
  aInfo.addMember("term") <<= aEntry.mPosition.mTerm;
  aInfo.addMember("index") <<= aEntry.mPosition.mIndex;
  aInfo.addMember("statements") <<= aEntry.mStatements;
  aInfo.addMember("key") <<= aEntry.mKey;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const ServerReply& aReply)
{
  aInfo.addMember("term") <<= aReply.mTerm;
  aInfo.addMember("primary") <<= aReply.mRole == ServerRole::Primary;
  aInfo.addMember("applied_term") <<= aReply.mApplied.mTerm;
  aInfo.addMember("applied_index") <<= aReply.mApplied.mIndex;
  aInfo.addMember("logged_term") <<= aReply.mLogged.mTerm;
  aInfo.addMember("logged_index") <<= aReply.mLogged.mIndex;
}

class StandinControl::Impl
{
public:
  Impl(const StandinSettings& aSettings,
       DatabaseServer& aServer,
       DatabaseState& aState,
       Faults& aFaults)
    : mDatabase(aServer)
    , mState(aState)
    , mFaults(aFaults)
    , mPages(aSettings.mControl)
  {
    mPages.Add("/control", [this](auto& aOut, const auto& aParams) {
      ApplyParams(aParams);
      aOut << "{\"ok\":true}";
    });
    mPages.Add("/log", [this](auto& aOut, const auto&) {
      aOut << cxxtools::Json(mState.Log());
    });
    mPages.Add("/status", [this](auto& aOut, const auto&) {
      ServerReply reply;
      mState.Describe(reply, false);
      aOut << cxxtools::Json(reply);
    });
    mPages.Start();
  }

private:
  void ApplyParams(const cxxtools::QueryParams& aParams)
  {
    if (aParams.has("lag_ms")) {
      mFaults.mLagMicros = std::stoll(aParams.param("lag_ms")) * 1'000;
    }
    if (aParams.has("statement_us")) {
      mFaults.mStatementMicros = std::stoll(aParams.param("statement_us"));
    }
    if (aParams.has("cut_off")) {
      mFaults.mCutOff = aParams.param("cut_off") == "1";
    }
    if (aParams.has("paused")) {
      mFaults.mPaused = aParams.param("paused") == "1";
    }
    if (aParams.has("down")) {
      mFaults.mDown = aParams.param("down") == "1";
      if (mFaults.mDown) {
        mDatabase.CloseConnections();
      }
    }
    if (aParams.has("silence")) {
      mDatabase.SilenceConnections();
    }
  }

  DatabaseServer& mDatabase;
  DatabaseState& mState;
  Faults& mFaults;
  ControlPages mPages;
};

StandinControl::StandinControl(const StandinSettings& aSettings,
                               DatabaseServer& aServer,
                               DatabaseState& aState,
                               Faults& aFaults)
  : mImpl(std::make_unique<Impl>(aSettings, aServer, aState, aFaults))
{
}

StandinControl::~StandinControl() = default;

}
