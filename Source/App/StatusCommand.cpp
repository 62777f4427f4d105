#include <exception>
#include <iostream>
#include <sstream>

#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>

#include "App/CommandLine.h"
#include "App/Commands.h"
#include "App/HttpFetch.h"
#include "App/OperatorClient.h"
#include "Wire/JsonText.h"

namespace camphorstep {

namespace {

/// What the table shows of one host.
struct HostLine
{
  std::string mHost;
  std::uint64_t mVersion = 0;
  bool mStopping = false;
  std::uint64_t mInProgress = 0;
  std::uint64_t mTransactions = 0;
  std::string mQueues;
  std::string mPeers;
  std::string mDatabases;
};

/// Adds to a list in one cell of the table.
void
AddItem(std::string& aCell, const std::string& aItem)
{
  aCell += aCell.empty() ? aItem : " " + aItem;
}

std::string
MemberText(const cxxtools::SerializationInfo& aInfo, const char* aName)
{
  std::string text;
  aInfo.getMember(aName, text);
  return text;
}

bool
MemberFlag(const cxxtools::SerializationInfo& aInfo, const char* aName)
{
  bool flag = false;
  aInfo.getMember(aName, flag);
  return flag;
}

std::string
DescribePeer(const cxxtools::SerializationInfo& aPeer)
{
  std::string name = MemberText(aPeer, "name");
  if (MemberFlag(aPeer, "leaving")) {
    return name + "(leaving)";
  }
  if (!MemberFlag(aPeer, "connected") || MemberFlag(aPeer, "silent")) {
    return name + "(gone)";
  }
  return name;
}

HostLine
ReadLine(const std::string& aBody)
{
  const cxxtools::SerializationInfo info = ParseJsonObject(aBody);
  HostLine line;
  line.mHost = MemberText(info, "host");
  info.getMember("version", line.mVersion);
  line.mStopping = MemberFlag(info, "stopping");
  info.getMember("in_progress", line.mInProgress);
  info.getMember("transactions", line.mTransactions);
  for (const auto& rank : info.getMember("ranks")) {
    AddItem(line.mQueues,
            MemberText(rank, "name") + "=" + MemberText(rank, "queued"));
  }
  for (const auto& peer : info.getMember("peers")) {
    AddItem(line.mPeers, DescribePeer(peer));
  }
  for (const auto& database : info.getMember("databases")) {
    AddItem(line.mDatabases,
            MemberText(database, "name") + "=" +
              MemberText(database, "primary") + "@" +
              MemberText(database, "term"));
  }
  return line;
}

void
Print(const HostLine& aLine)
{
  std::cout << aLine.mHost << "  version " << aLine.mVersion
            << (aLine.mStopping ? "  stopping" : "") << "  in progress "
            << aLine.mInProgress << ", transactions " << aLine.mTransactions
            << ", queued " << aLine.mQueues << "\n  peers: " << aLine.mPeers
            << "\n  primaries: " << aLine.mDatabases << "\n";
}

/// Shows one host; false if it does not answer.
bool
ShowHost(const Address& aAddress, const std::string& aToken, bool aJson)
{
  try {
    const std::string body = FetchPage(aAddress, "/v1/status", aToken);
    if (aJson) {
      std::cout << body << "\n";
    } else {
      Print(ReadLine(body));
    }
    return true;
  } catch (const std::exception& ex) {
    std::cerr << aAddress.mIp << ": " << ex.what() << "\n";
    return false;
  }
}

}

int
RunStatusCommand(int aCount, const char* const* aArguments)
{
  cxxopts::Options options = MakeOptions("status", "Shows what hosts know.");
  AddTargetOptions(options);
  options.add_options()("json", "print one JSON object for each host");
  int status = 0;
  const auto arguments = ParseArguments(options, aCount, aArguments, status);
  if (!arguments) {
    return status;
  }
  const OperatorTarget target = ReadTarget(*arguments);
  bool allAnswered = true;
  for (const Address& address : target.mAddresses) {
    const bool answered =
      ShowHost(address, target.mToken, arguments->count("json") > 0);
    allAnswered = allAnswered && answered;
  }
  return allAnswered ? 0 : kExitRefused;
}

}
