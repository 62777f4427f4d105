#include "Wire/StoreJson.h"

#include <array>
#include <sstream>
#include <stdexcept>

#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>

#include "Common/Log.h"
#include "Common/NamedEnum.h"
#include "Wire/JsonText.h"

namespace camphorstep {

namespace {

constexpr std::array kMachineKinds{
  EnumName<MachineKind>{ MachineKind::EntryHost, "entry" },
  EnumName<MachineKind>{ MachineKind::BackendServer, "server" },
};

}

// The operators are found by argument-dependent lookup, so they are not in
// the anonymous namespace.
static void
operator<<=(cxxtools::SerializationInfo& aInfo, const StoreRow& aRow)
{
  aInfo.addMember("key") <<= aRow.mKey;
  aInfo.addMember("version") <<= aRow.mVersion;
  aInfo.addMember("value") <<= aRow.mValue;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, StoreRow& aRow)
{
  aInfo.getMember("key") >>= aRow.mKey;
  aInfo.getMember("version") >>= aRow.mVersion;
  aInfo.getMember("value") >>= aRow.mValue;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const StoreCheck& aCheck)
{
  aInfo.addMember("key") <<= aCheck.mKey;
  aInfo.addMember("version") <<= aCheck.mVersion;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, StoreCheck& aCheck)
{
  aInfo.getMember("key") >>= aCheck.mKey;
  aInfo.getMember("version") >>= aCheck.mVersion;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo,
            const StoreTransaction& aTransaction)
{
  aInfo.addMember("checks") <<= aTransaction.mChecks;
  aInfo.addMember("writes") <<= aTransaction.mWrites;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo,
            StoreTransaction& aTransaction)
{
  aInfo.getMember("checks") >>= aTransaction.mChecks;
  aInfo.getMember("writes") >>= aTransaction.mWrites;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const StoreQuery& aQuery)
{
  aInfo.addMember("keys") <<= aQuery.mKeys;
  aInfo.addMember("from") <<= aQuery.mFrom;
  aInfo.addMember("to") <<= aQuery.mTo;
  aInfo.addMember("limit") <<= aQuery.mLimit;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, StoreQuery& aQuery)
{
  aInfo.getMember("keys") >>= aQuery.mKeys;
  aInfo.getMember("from") >>= aQuery.mFrom;
  aInfo.getMember("to") >>= aQuery.mTo;
  aInfo.getMember("limit") >>= aQuery.mLimit;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const StoreCommit& aCommit)
{
  aInfo.addMember("committed") <<= aCommit.mCommitted;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, StoreCommit& aCommit)
{
  aInfo.getMember("committed") >>= aCommit.mCommitted;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const ListedMachine& aMachine)
{
  aInfo.addMember("name") <<= aMachine.mName;
  aInfo.addMember("kind") <<=
    std::string(NameIn(kMachineKinds, aMachine.mKind));
  aInfo.addMember("leaving") <<= aMachine.mLeaving;
  aInfo.addMember("generation") <<= aMachine.mGeneration;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, ListedMachine& aMachine)
{
  std::string kind;
  aInfo.getMember("name") >>= aMachine.mName;
  aInfo.getMember("kind") >>= kind;
  aInfo.getMember("leaving") >>= aMachine.mLeaving;
  aInfo.getMember("generation") >>= aMachine.mGeneration;
  const std::optional<MachineKind> value = ValueIn(kMachineKinds, kind);
  if (!value) {
    throw std::runtime_error("'" + kind + "' is not a kind of machine");
  }
  aMachine.mKind = *value;
}

namespace {

template<typename T>
std::string
Write(const T& aValue)
{
  std::ostringstream out;
  out << cxxtools::Json(aValue);
  return std::move(out).str();
}

template<typename T>
void
Read(const std::string& aText, T& aValue)
{
  T value{};
  ParseJson(aText) >>= value;
  aValue = std::move(value);
}

}

std::string
ToJson(const StoreQuery& aQuery)
{
  return Write(aQuery);
}

std::string
ToJson(const StoreTransaction& aTransaction)
{
  return Write(aTransaction);
}

std::string
ToJson(const StoreCommit& aCommit)
{
  return Write(aCommit);
}

std::string
ToJson(const std::vector<StoreRow>& aRows)
{
  return Write(aRows);
}

std::string
ToJson(const std::vector<ListedMachine>& aMachines)
{
  return Write(aMachines);
}

void
FromJson(const std::string& aText, StoreQuery& aQuery)
{
  Read(aText, aQuery);
}

void
FromJson(const std::string& aText, StoreTransaction& aTransaction)
{
  Read(aText, aTransaction);
}

void
FromJson(const std::string& aText, StoreCommit& aCommit)
{
  Read(aText, aCommit);
}

void
FromJson(const std::string& aText, std::vector<StoreRow>& aRows)
{
  Read(aText, aRows);
}

void
FromJson(const std::string& aText, std::vector<ListedMachine>& aMachines)
{
  std::vector<ListedMachine> machines;
  for (const cxxtools::SerializationInfo& item : ParseJson(aText)) {
    try {
      ListedMachine machine;
      item >>= machine;
      machines.push_back(std::move(machine));
    } catch (const std::exception& ex) {
      WriteLog(LogLevel::Warning,
               "machine of the list cannot be read",
               { { "error", ex.what() } });
    }
  }
  aMachines = std::move(machines);
}

}
