#include "Settings/SettingKeys.h"

#include <algorithm>
#include <array>
#include <string>

namespace camphorstep {

namespace {

constexpr std::array kKeys{
  SettingKey{ "host",
              "name",
              "a name",
              "",
              "The host's name. Every host has its own." },
  SettingKey{ "host",
              "data_centre",
              "a data centre",
              "",
              "Where the host stands." },
  SettingKey{ "listen",
              "callers",
              "IP:PORT",
              "",
              "Where callers are served over HTTP." },
  SettingKey{
    "listen",
    "operators",
    "IP:PORT",
    "",
    "Where operators and the balancer's health checks are served over HTTP." },
  SettingKey{ "listen", "peers", "IP:PORT", "", "Where other hosts connect." },
  SettingKey{ "listen",
              "metrics",
              "IP:PORT",
              "",
              "Where Prometheus reads metrics." },
  SettingKey{ "secrets",
              "peers",
              "16 characters or more",
              "",
              "Key of the messages between hosts; the same on all hosts." },
  SettingKey{
    "secrets",
    "sessions",
    "16 characters or more",
    "",
    "Key of session tokens and transaction handles; the same on all hosts." },
  SettingKey{ "limits",
              "max_request_bytes",
              "1024 to 3000000",
              "1048576",
              "The largest body of a caller's request." },
  SettingKey{ "limits",
              "caller_threads",
              "16 to 4096",
              "256",
              "Threads that serve callers; each holds one request that waits "
              "for its answer. Ranks that allow more together are cut to "
              "fit." },
  SettingKey{
    "limits",
    "caller_read_timeout_ms",
    "10 to 600000",
    "10000",
    "How long a caller may take to go on with a request that it has begun." },
  SettingKey{ "limits",
              "stop_timeout_ms",
              "100 to 3600000",
              "30000",
              "How long a planned stop waits for what is in progress." },
  SettingKey{ "platform",
              "address",
              "IP:PORT",
              "none",
              "The platform's service. Without it the host runs on its profile "
              "file alone." },
  SettingKey{
    "profiles",
    "file",
    "a path",
    "none",
    "A profile file that is in force from the start as version 1, until a "
    "published one replaces it. Relative to the settings file." },
  SettingKey{ "data_centre.*",
              "region",
              "a region",
              "",
              "The region of the data centre." },
  SettingKey{ "peer.*",
              "address",
              "IP:PORT",
              "",
              "Where this host reaches the peer." },
  SettingKey{ "peer.*",
              "data_centre",
              "a data centre",
              "",
              "Where the peer stands." },
  SettingKey{ "database.*",
              "servers",
              "names, separated by blanks",
              "",
              "The backend servers of the database's group." },
  SettingKey{ "server.*",
              "address",
              "IP:PORT",
              "",
              "Where this host reaches the backend server." },
  SettingKey{ "server.*",
              "data_centre",
              "a data centre",
              "",
              "Where the backend server stands." },
  SettingKey{ "server.*",
              "max_connections",
              "4 to 10000",
              "30",
              "The connections that the server takes from everyone. A host "
              "uses less than half of them." },
  SettingKey{ "server.*",
              "slots",
              "1 to 1000",
              "5",
              "The statements that the server runs at once." },
  SettingKey{ "caller.*",
              "token",
              "16 characters or more",
              "",
              "Bearer token of the service after which the section is named." },
  SettingKey{ "operator.*",
              "token",
              "16 characters or more",
              "",
              "Bearer token of the operator after whom the section is named." },
};

}

std::span<const SettingKey>
SettingKeyTable()
{
  return kKeys;
}

std::string
SettingSectionOf(std::string_view aSection)
{
  const std::size_t dot = aSection.find('.');
  return dot == std::string_view::npos
           ? std::string(aSection)
           : std::string(aSection.substr(0, dot)) + ".*";
}

bool
IsSettingKey(std::string_view aSection, std::string_view aKey)
{
  const std::string section = SettingSectionOf(aSection);
  return std::any_of(
    kKeys.begin(), kKeys.end(), [&section, aKey](const SettingKey& aRow) {
      return aRow.mSection == section && aRow.mKey == aKey;
    });
}

}
