#include "Settings/GatewaySettings.h"

#include <stdexcept>

#include "Model/IniReader.h"
#include "Settings/Settings.h"

namespace camphorstep {

namespace {

constexpr std::string_view kDataCentrePrefix = "data_centre.";
constexpr std::int64_t kMaxGraceMs = 600'000;
constexpr std::int64_t kMaxRevokeMs = 86'400'000;
constexpr double kMinProcessorShare = 0.001;
constexpr double kMaxProcessorShare = 1'000.0;

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
  } else if (aSection.mName == "listen") {
    aSettings.mCallerAddress = RequireAddress(reader, "callers");
    aSettings.mReadinessAddress = RequireAddress(reader, "readiness");
    aSettings.mPeerAddress = RequireAddress(reader, "peers");
    aSettings.mMetricsAddress = RequireAddress(reader, "metrics");
  } else if (aSection.mName == "stop") {
    reader.ReadMilliseconds("grace_ms", aSettings.mStopGrace, 1, kMaxGraceMs);
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
