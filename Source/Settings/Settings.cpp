#include "Settings/Settings.h"

#include <algorithm>
#include <array>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>

#include "Model/IniReader.h"
#include "Settings/SettingKeys.h"

namespace camphorstep {

namespace {

constexpr std::size_t kMinSecretLength = 16;

constexpr std::array<std::string_view, 5> kPlainSections{ "host",
                                                          "listen",
                                                          "secrets",
                                                          "limits",
                                                          "platform" };
constexpr std::array<std::string_view, 6> kNamedSections{
  "data_centre", "peer", "database", "server", "caller", "operator"
};

[[noreturn]] void
FailAt(const IniFile& aFile, int aLine, const std::string& aMessage)
{
  throw std::runtime_error(DescribeLine(aFile, aLine, aMessage));
}

void
RefuseUnknownSections(const IniFile& aFile)
{
  for (const IniSection& section : aFile.mSections) {
    const std::string_view name = section.mName;
    const bool plain =
      std::find(kPlainSections.begin(), kPlainSections.end(), name) !=
      kPlainSections.end();
    const std::size_t dot = name.find('.');
    const bool named = dot != std::string_view::npos && dot + 1 < name.size() &&
                       std::find(kNamedSections.begin(),
                                 kNamedSections.end(),
                                 name.substr(0, dot)) != kNamedSections.end();
    if (!plain && !named) {
      FailAt(
        aFile, section.mLine, "[" + section.mName + "] is not a known section");
    }
  }
}

/// Refuses unknown keys, and makes sure that the ones which were asked for
/// are documented.
void
FinishReading(const IniReader& aReader)
{
  aReader.RefuseUnknownKeys();
  for (const std::string& key : aReader.AskedKeys()) {
    if (!IsSettingKey(aReader.Section().mName, key)) {
      throw std::logic_error("the key '" + key + "' in [" +
                             aReader.Section().mName + "] is not documented");
    }
  }
}

const IniSection&
RequireSection(const IniFile& aFile, std::string_view aName)
{
  const IniSection* const section = aFile.Find(aName);
  if (section == nullptr) {
    throw std::runtime_error(aFile.mPath + ": the section [" +
                             std::string(aName) + "] is missing");
  }
  return *section;
}

std::string
NameAfter(const IniSection& aSection)
{
  return aSection.mName.substr(aSection.mName.find('.') + 1);
}

void
ReadHost(const IniFile& aFile, Settings& aSettings)
{
  const IniSection& section = RequireSection(aFile, "host");
  IniReader reader(aFile, section);
  aSettings.mHostName = reader.Require("name");
  aSettings.mDataCentre = reader.Require("data_centre");
  reader.Read("generation",
              aSettings.mGeneration,
              std::uint64_t{ 0 },
              std::uint64_t{ 1'000'000'000 });
  FinishReading(reader);
}

void
ReadListen(const IniFile& aFile, Settings& aSettings)
{
  const IniSection& section = RequireSection(aFile, "listen");
  IniReader reader(aFile, section);
  aSettings.mCallerAddress = RequireAddress(reader, "callers");
  aSettings.mOperatorAddress = RequireAddress(reader, "operators");
  aSettings.mPeerAddress = RequireAddress(reader, "peers");
  aSettings.mMetricsAddress = RequireAddress(reader, "metrics");
  FinishReading(reader);
}

std::string
RequireSecret(const IniSection& aSection,
              IniReader& aReader,
              std::string_view aKey)
{
  std::string secret = aReader.Require(aKey);
  if (secret.size() < kMinSecretLength) {
    aReader.Fail(*aSection.Find(aKey),
                 "must have at least " + std::to_string(kMinSecretLength) +
                   " characters");
  }
  return secret;
}

void
ReadSecrets(const IniFile& aFile, Settings& aSettings)
{
  const IniSection& section = RequireSection(aFile, "secrets");
  IniReader reader(aFile, section);
  aSettings.mPeerSecret = RequireSecret(section, reader, "peers");
  aSettings.mSessionSecret = RequireSecret(section, reader, "sessions");
  FinishReading(reader);
}

void
ReadLimits(const IniFile& aFile, Settings& aSettings)
{
  const IniSection* const section = aFile.Find("limits");
  if (section == nullptr) {
    return;
  }
  IniReader reader(aFile, *section);
  reader.Read(
    "max_request_bytes", aSettings.mMaxRequestBytes, 1'024U, 3'000'000U);
  reader.Read("caller_threads", aSettings.mCallerThreads, 16U, 4'096U);
  reader.ReadMilliseconds(
    "caller_read_timeout_ms", aSettings.mCallerReadTimeout, 10, 600'000);
  reader.ReadMilliseconds(
    "stop_timeout_ms", aSettings.mStopTimeout, 100, 3'600'000);
  reader.ReadMilliseconds("stop_notice_ms", aSettings.mStopNotice, 0, 600'000);
  FinishReading(reader);
}

void
ReadPlatform(const IniFile& aFile, Settings& aSettings)
{
  const IniSection* const section = aFile.Find("platform");
  if (section == nullptr) {
    return;
  }
  IniReader reader(aFile, *section);
  aSettings.mPlatformAddress = RequireAddress(reader, "address");
  FinishReading(reader);
}

using DataCentres = std::unordered_map<std::string, Place>;

DataCentres
ReadDataCentres(const IniFile& aFile)
{
  DataCentres places;
  for (const IniSection* const section : aFile.FindAll("data_centre")) {
    IniReader reader(aFile, *section);
    const std::string name = NameAfter(*section);
    const Place place{ IdOf<DataCentreId>(name),
                       IdOf<RegionId>(reader.Require("region")) };
    FinishReading(reader);
    places.emplace(name, place);
  }
  return places;
}

Place
RequirePlace(const IniFile& aFile,
             const IniSection& aSection,
             const DataCentres& aDataCentres,
             const std::string& aName)
{
  const auto it = aDataCentres.find(aName);
  if (it == aDataCentres.end()) {
    FailAt(aFile,
           aSection.mLine,
           "[" + aSection.mName + "] names the data centre '" + aName +
             "', which has no section");
  }
  return it->second;
}

void
ReadPeers(const IniFile& aFile,
          const DataCentres& aDataCentres,
          Settings& aSettings)
{
  for (const IniSection* const section : aFile.FindAll("peer")) {
    IniReader reader(aFile, *section);
    Host host;
    host.mName = NameAfter(*section);
    host.mId = IdOf<HostId>(host.mName);
    host.mPeerAddress = RequireAddress(reader, "address");
    host.mPlace = RequirePlace(
      aFile, *section, aDataCentres, reader.Require("data_centre"));
    FinishReading(reader);
    if (!aSettings.mTopology.mHosts.emplace(host.mId, host).second) {
      FailAt(aFile, section->mLine, "the host's name collides with another");
    }
  }
}

void
AddSelf(const IniFile& aFile,
        const DataCentres& aDataCentres,
        Settings& aSettings)
{
  Host self;
  self.mName = aSettings.mHostName;
  self.mId = aSettings.Self();
  self.mPeerAddress = aSettings.mPeerAddress;
  self.mPlace = RequirePlace(
    aFile, RequireSection(aFile, "host"), aDataCentres, aSettings.mDataCentre);
  aSettings.mTopology.mHosts[self.mId] = self;
}

void
ReadServers(const IniFile& aFile,
            const DataCentres& aDataCentres,
            Settings& aSettings)
{
  for (const IniSection* const section : aFile.FindAll("server")) {
    IniReader reader(aFile, *section);
    Server server;
    server.mName = NameAfter(*section);
    server.mId = IdOf<ServerId>(server.mName);
    server.mAddress = RequireAddress(reader, "address");
    server.mPlace = RequirePlace(
      aFile, *section, aDataCentres, reader.Require("data_centre"));
    reader.Read("max_connections", server.mMaxConnections, 4, 10'000);
    reader.Read("slots", server.mSlots, 1, 1'000);
    FinishReading(reader);
    if (!aSettings.mTopology.mServers.emplace(server.mId, server).second) {
      FailAt(aFile, section->mLine, "the server's name collides with another");
    }
  }
}

void
ReadDatabases(const IniFile& aFile, Settings& aSettings)
{
  for (const IniSection* const section : aFile.FindAll("database")) {
    IniReader reader(aFile, *section);
    Database database;
    database.mName = NameAfter(*section);
    database.mId = IdOf<DatabaseId>(database.mName);
    std::istringstream names(reader.Require("servers"));
    FinishReading(reader);
    for (std::string name; names >> name;) {
      const auto server =
        aSettings.mTopology.mServers.find(IdOf<ServerId>(name));
      if (server == aSettings.mTopology.mServers.end()) {
        FailAt(
          aFile, section->mLine, "the server '" + name + "' has no section");
      }
      if (server->second.mDatabase) {
        FailAt(aFile,
               section->mLine,
               "the server '" + name + "' belongs to two databases");
      }
      server->second.mDatabase = database.mId;
      database.mServers.push_back(server->first);
    }
    if (!aSettings.mTopology.mDatabases.emplace(database.mId, database)
           .second) {
      FailAt(
        aFile, section->mLine, "the database's name collides with another");
    }
  }
  for (const auto& [id, server] : aSettings.mTopology.mServers) {
    if (!server.mDatabase) {
      throw std::runtime_error(aFile.mPath + ": the server '" + server.mName +
                               "' belongs to no database");
    }
  }
}

std::unordered_map<std::string, std::string>
ReadTokens(const IniFile& aFile, std::string_view aPrefix)
{
  std::unordered_map<std::string, std::string> names;
  for (const IniSection* const section : aFile.FindAll(aPrefix)) {
    IniReader reader(aFile, *section);
    const std::string token = RequireSecret(*section, reader, "token");
    FinishReading(reader);
    if (!names.emplace(token, NameAfter(*section)).second) {
      FailAt(aFile, section->mLine, "the token is used twice");
    }
  }
  return names;
}

}

Address
RequireAddress(IniReader& aReader, std::string_view aKey)
{
  const std::string text = aReader.Require(aKey);
  Address address;
  if (!ParseAddress(text, address)) {
    aReader.Fail(*aReader.Section().Find(aKey),
                 "is not an IP address and port");
  }
  return address;
}

bool
ParseAddress(const std::string& aText, Address& aAddress)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return false;
  }
  const std::string ip = aText.substr(0, colon);
  const std::string port = aText.substr(colon + 1);
  in_addr parsed{};
  if (::inet_pton(AF_INET, ip.c_str(), &parsed) != 1 || port.empty() ||
      port.size() > 5 || !std::all_of(port.begin(), port.end(), ::isdigit)) {
    return false;
  }
  const unsigned long number = std::stoul(port);
  if (number == 0 || number > 65'535) {
    return false;
  }
  aAddress = Address{ ip, static_cast<std::uint16_t>(number) };
  return true;
}

Settings
ParseSettings(const IniFile& aFile)
{
  RefuseUnknownSections(aFile);
  Settings settings;
  ReadHost(aFile, settings);
  ReadListen(aFile, settings);
  ReadSecrets(aFile, settings);
  ReadLimits(aFile, settings);
  ReadPlatform(aFile, settings);
  const DataCentres dataCentres = ReadDataCentres(aFile);
  ReadPeers(aFile, dataCentres, settings);
  AddSelf(aFile, dataCentres, settings);
  ReadServers(aFile, dataCentres, settings);
  ReadDatabases(aFile, settings);
  settings.mCallers = ReadTokens(aFile, "caller");
  settings.mOperators = ReadTokens(aFile, "operator");
  return settings;
}

}
