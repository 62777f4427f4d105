#include "Load/StandinClient.h"

#include <sstream>

#include <cxxtools/http/client.h>
#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>

namespace camphorstep {

// Found by argument-dependent lookup, so not in the anonymous namespace.
static void
operator>>=(const cxxtools::SerializationInfo& aInfo, StandinStatus& aStatus)
{
  aInfo.getMember("term") >>= aStatus.mTerm;
  aInfo.getMember("primary") >>= aStatus.mPrimary;
  aInfo.getMember("logged_term") >>= aStatus.mLoggedTerm;
  aInfo.getMember("logged_index") >>= aStatus.mLoggedIndex;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, StandinLogEntry& aEntry)
{
  aInfo.getMember("term") >>= aEntry.mTerm;
  aInfo.getMember("statements") >>= aEntry.mStatements;
}

namespace {

std::string
Get(const Address& aControl, const std::string& aPath)
{
  cxxtools::http::Client client(aControl.mIp, aControl.mPort);
  return client.get(aPath);
}

}

void
SetFault(const Address& aControl, const std::string& aParameters)
{
  Get(aControl, "/control?" + aParameters);
}

StandinStatus
ReadStatus(const Address& aControl)
{
  StandinStatus status;
  std::istringstream in(Get(aControl, "/status"));
  in >> cxxtools::Json(status);
  return status;
}

std::vector<StandinLogEntry>
ReadLog(const Address& aControl)
{
  std::vector<StandinLogEntry> log;
  std::istringstream in(Get(aControl, "/log"));
  in >> cxxtools::Json(log);
  return log;
}

}
