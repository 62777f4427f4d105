#include "Settings/GatewaySettings.h"

#include <array>
#include <stdexcept>

#include "Model/IniReader.h"
#include "Settings/Settings.h"

namespace camphorstep {

namespace {

constexpr std::string_view kDataCentrePrefix = "data_centre.";
constexpr std::array kBooleanNames{
  EnumName<bool>{ false, "no" },
  EnumName<bool>{ true, "yes" },
};
constexpr std::int64_t kMaxGraceMs = 600'000;
constexpr std::int64_t kMinWindowMs = 100;
constexpr std::int64_t kMaxWindowMs = 3'600'000;
constexpr double kMaxOverage = 10.0;
constexpr double kMaxSlack = 1'000'000.0;
constexpr std::int64_t kMaxRevokeMs = 86'400'000;
constexpr double kMinProcessorShare = 0.001;
constexpr double kMaxProcessorShare = 1'000.0;
constexpr std::int64_t kMinSessionKb = 64;
constexpr std::int64_t kMaxSessionKb = 1'000'000;
constexpr std::int64_t kMinCallerMs = 1'000;
constexpr std::int64_t kMaxCallerMs = 3'600'000;
constexpr double kMaxMemoryMb = 1'000'000;
constexpr std::int64_t kMaxDescriptors = 10'000'000;

void
ReadSection(const IniFile& aFile,
            const IniSection& aSection,
            GatewaySettings& aSettings)
{
  IniReader reader(aFile, aSection);
  if (aSection.mName == "host") {
    aSettings.mHostName = reader.Require("name");
    aSettings.mDataCentre = reader.Require("data_centre");
    reader.Read("processor_share",
                aSettings.mProcessorShare,
                kMinProcessorShare,
                kMaxProcessorShare);
    reader.Read("memory_mb", aSettings.mMemoryMb, 0.0, kMaxMemoryMb);
    reader.Read("descriptors",
                aSettings.mDescriptors,
                std::int64_t{ 0 },
                kMaxDescriptors);
  } else if (aSection.mName == "callers") {
    reader.Read(
      "session_kb", aSettings.mSessionKb, kMinSessionKb, kMaxSessionKb);
    CallerTimeouts& timeouts = aSettings.mCallerTimeouts;
    reader.ReadMilliseconds(
      "opening_ms", timeouts.mOpening, kMinCallerMs, kMaxCallerMs);
    reader.ReadMilliseconds(
      "message_ms", timeouts.mMessage, kMinCallerMs, kMaxCallerMs);
    reader.ReadMilliseconds(
      "answer_ms", timeouts.mAnswer, kMinCallerMs, kMaxCallerMs);
  } else if (aSection.mName == "listen") {
    aSettings.mCallerAddress = RequireAddress(reader, "callers");
    aSettings.mReadinessAddress = RequireAddress(reader, "readiness");
    aSettings.mPeerAddress = RequireAddress(reader, "peers");
    aSettings.mMetricsAddress = RequireAddress(reader, "metrics");
  } else if (aSection.mName == "stop") {
    reader.ReadMilliseconds("grace_ms", aSettings.mStopGrace, 1, kMaxGraceMs);
  } else if (aSection.mName == "rate_limits") {
    gateway::LimitBounds& bounds = aSettings.mLimitBounds;
    reader.ReadMilliseconds(
      "window_ms", bounds.mWindow, kMinWindowMs, kMaxWindowMs);
    reader.Read("overage", bounds.mOverage, 0.0, kMaxOverage);
    reader.Read("slack", bounds.mSlack, 0.0, kMaxSlack);
  } else if (aSection.mName == "relay") {
    reader.Read("enabled", aSettings.mIsRelaying, kBooleanNames);
  } else if (aSection.mName == "accounts") {
    reader.ReadMilliseconds(
      "revoke_ms", aSettings.mRevokeTimeout, 0, kMaxRevokeMs);
  } else if (aSection.mName == "platform") {
    aSettings.mStoreAddress = RequireAddress(reader, "store");
    aSettings.mPromotionAddress = RequireAddress(reader, "promotions");
  } else if (aSection.mName.starts_with(kDataCentrePrefix)) {
    aSettings.mRegions[aSection.mName.substr(kDataCentrePrefix.size())] =
      reader.Require("region");
  } else {
    throw std::runtime_error(
      DescribeLine(aFile,
                   aSection.mLine,
                   "[" + aSection.mName + "] is not a known section"));
  }
  reader.RefuseUnknownKeys();
}

}

ProcessLimits
LimitsOf(const GatewaySettings& aSettings)
{
  return DivideProcess(aSettings.mMemoryMb, aSettings.mDescriptors);
}

GatewaySettings
ParseGatewaySettings(const IniFile& aFile)
{
  GatewaySettings settings;
  for (const IniSection& section : aFile.mSections) {
    ReadSection(aFile, section, settings);
  }
  for (const std::string_view name : { "host", "listen", "platform" }) {
    if (aFile.Find(name) == nullptr) {
      throw std::runtime_error(aFile.mPath + ": the section [" +
                               std::string(name) + "] is missing");
    }
  }
  if (!settings.mRegions.contains(settings.mDataCentre)) {
    throw std::runtime_error(aFile.mPath + ": the data centre '" +
                             settings.mDataCentre + "' has no section");
  }
  return settings;
}

}
