#include "Shell/OperatorJson.h"

#include "Wire/JsonText.h"

#include <sstream>
#include <stdexcept>
#include <utility>

#include <cxxtools/json.h>
#include <cxxtools/serializationinfo.h>

namespace camphorstep {

// The operators are found by argument-dependent lookup, so they are not in
// the anonymous namespace.
static void
operator<<=(cxxtools::SerializationInfo& aInfo,
            const ConfigurationRecord& aRecord)
{
  aInfo.addMember("version") <<= aRecord.mVersion;
  aInfo.addMember("change_id") <<= aRecord.mChangeId;
  aInfo.addMember("author") <<= aRecord.mAuthor;
  aInfo.addMember("reason") <<= aRecord.mReason;
  aInfo.addMember("published_at") <<= aRecord.mPublishedAt;
  aInfo.addMember("text") <<= aRecord.mText;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo,
            ConfigurationRecord& aRecord)
{
  aInfo.getMember("version") >>= aRecord.mVersion;
  aInfo.getMember("change_id") >>= aRecord.mChangeId;
  aInfo.getMember("author") >>= aRecord.mAuthor;
  aInfo.getMember("reason") >>= aRecord.mReason;
  aInfo.getMember("published_at") >>= aRecord.mPublishedAt;
  aInfo.getMember("text") >>= aRecord.mText;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const AuditRecord& aRecord)
{
  aInfo.addMember("time") <<= aRecord.mTime;
  aInfo.addMember("author") <<= aRecord.mAuthor;
  aInfo.addMember("action") <<= aRecord.mAction;
  aInfo.addMember("reason") <<= aRecord.mReason;
  aInfo.addMember("change_id") <<= aRecord.mChangeId;
  aInfo.addMember("host") <<= aRecord.mHost;
  aInfo.addMember("version") <<= aRecord.mVersion;
  aInfo.addMember("sections") <<= aRecord.mSections;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, AuditRecord& aRecord)
{
  aInfo.getMember("time") >>= aRecord.mTime;
  aInfo.getMember("author") >>= aRecord.mAuthor;
  aInfo.getMember("action") >>= aRecord.mAction;
  aInfo.getMember("reason") >>= aRecord.mReason;
  aInfo.getMember("change_id") >>= aRecord.mChangeId;
  aInfo.getMember("host") >>= aRecord.mHost;
  aInfo.getMember("version") >>= aRecord.mVersion;
  aInfo.getMember("sections") >>= aRecord.mSections;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const PublishProfiles& aAction)
{
  aInfo.addMember("change_id") <<= aAction.mChangeId;
  aInfo.addMember("base_version") <<= aAction.mBaseVersion;
  aInfo.addMember("text") <<= aAction.mText;
  aInfo.addMember("reason") <<= aAction.mReason;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, PublishProfiles& aAction)
{
  aInfo.getMember("change_id") >>= aAction.mChangeId;
  aInfo.getMember("base_version") >>= aAction.mBaseVersion;
  aInfo.getMember("text") >>= aAction.mText;
  aInfo.getMember("reason") >>= aAction.mReason;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const ReadProfiles& aAction)
{
  aInfo.addMember("version") <<= aAction.mVersion;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, ReadProfiles& aAction)
{
  aInfo.getMember("version") >>= aAction.mVersion;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const ReadAudit& aAction)
{
  aInfo.addMember("from") <<= aAction.mFrom;
  aInfo.addMember("to") <<= aAction.mTo;
  aInfo.addMember("author") <<= aAction.mAuthor;
  aInfo.addMember("profile") <<= aAction.mProfile;
  aInfo.addMember("cursor") <<= aAction.mCursor;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, ReadAudit& aAction)
{
  aInfo.getMember("from") >>= aAction.mFrom;
  aInfo.getMember("to") >>= aAction.mTo;
  aInfo.getMember("author") >>= aAction.mAuthor;
  aInfo.getMember("profile") >>= aAction.mProfile;
  aInfo.getMember("cursor") >>= aAction.mCursor;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const DrainHost& aAction)
{
  aInfo.addMember("reason") <<= aAction.mReason;
}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, DrainHost& aAction)
{
  aInfo.getMember("reason") >>= aAction.mReason;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const OperatorAnswer& aAnswer)
{
  aInfo.addMember("code") <<= static_cast<unsigned>(aAnswer.mCode);
  aInfo.addMember("name") <<= std::string(NameOf(aAnswer.mCode));
  aInfo.addMember("outcome") <<= std::string(NameOf(aAnswer.mOutcome));
  aInfo.addMember("message") <<= aAnswer.mMessage;
  if (aAnswer.mRecord) {
    aInfo.addMember("record") <<= *aAnswer.mRecord;
  }
  aInfo.addMember("audit") <<= aAnswer.mAudit;
  aInfo.addMember("cursor") <<= aAnswer.mCursor;
}

namespace {

Outcome
ToOutcome(const std::string& aName)
{
  for (const Outcome outcome :
       { Outcome::Done, Outcome::NotRun, Outcome::Unknown }) {
    if (NameOf(outcome) == aName) {
      return outcome;
    }
  }
  throw std::runtime_error("'" + aName + "' is not an outcome");
}

}

static void
operator>>=(const cxxtools::SerializationInfo& aInfo, OperatorAnswer& aAnswer)
{
  unsigned code = 0;
  std::string outcome;
  aInfo.getMember("code") >>= code;
  aInfo.getMember("outcome") >>= outcome;
  aInfo.getMember("message", aAnswer.mMessage);
  aInfo.getMember("audit", aAnswer.mAudit);
  aInfo.getMember("cursor", aAnswer.mCursor);
  aAnswer.mCode = static_cast<ResultCode>(code);
  aAnswer.mOutcome = ToOutcome(outcome);
  if (const auto* const record = aInfo.findMember("record")) {
    *record >>= aAnswer.mRecord.emplace();
  }
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
  ParseJsonObject(aText) >>= value;
  aValue = std::move(value);
}

}

std::string
ToJson(const PublishProfiles& aAction)
{
  return Write(aAction);
}

std::string
ToJson(const ReadProfiles& aAction)
{
  return Write(aAction);
}

std::string
ToJson(const ReadAudit& aAction)
{
  return Write(aAction);
}

std::string
ToJson(const DrainHost& aAction)
{
  return Write(aAction);
}

std::string
ToJson(const OperatorAnswer& aAnswer)
{
  return Write(aAnswer);
}

void
FromJson(const std::string& aText, PublishProfiles& aAction)
{
  Read(aText, aAction);
}

void
FromJson(const std::string& aText, ReadProfiles& aAction)
{
  Read(aText, aAction);
}

void
FromJson(const std::string& aText, ReadAudit& aAction)
{
  Read(aText, aAction);
}

void
FromJson(const std::string& aText, DrainHost& aAction)
{
  Read(aText, aAction);
}

void
FromJson(const std::string& aText, OperatorAnswer& aAnswer)
{
  Read(aText, aAnswer);
}

}
