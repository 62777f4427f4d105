#include "App/AuditPrinter.h"

#include <iostream>
#include <limits>

#include "App/TimeText.h"
#include "Shell/OperatorJson.h"

namespace camphorstep {

namespace {

void
PrintRecord(const AuditRecord& aRecord)
{
  std::cout << FormatTime(aRecord.mTime) << "  " << aRecord.mAuthor << "  "
            << aRecord.mAction;
  if (aRecord.mVersion != 0) {
    std::cout << " version " << aRecord.mVersion;
  }
  std::cout << " at " << aRecord.mHost << ": " << aRecord.mReason;
  if (!aRecord.mChangeId.empty()) {
    std::cout << "  [" << aRecord.mChangeId << "]";
  }
  for (const std::string& section : aRecord.mSections) {
    std::cout << " " << section;
  }
  std::cout << "\n";
}

}

void
AddAuditOptions(cxxopts::Options& aOptions)
{
  auto add = aOptions.add_options();
  add("from",
      "first time, UTC",
      cxxopts::value<std::string>(),
      "2026-12-04T07:50");
  add("to", "time before which to end", cxxopts::value<std::string>(), "TIME");
  add("author", "only this operator", cxxopts::value<std::string>(), "NAME");
  add("profile",
      "only changes of this profile or section",
      cxxopts::value<std::string>(),
      "NAME");
}

ReadAudit
ReadAuditFilter(const cxxopts::ParseResult& aArguments)
{
  const auto text = [&aArguments](const char* aName) {
    return aArguments.count(aName) > 0 ? aArguments[aName].as<std::string>()
                                       : std::string();
  };
  ReadAudit filter;
  filter.mFrom = text("from").empty() ? 0 : ParseTime(text("from"));
  filter.mTo = text("to").empty() ? std::numeric_limits<std::int64_t>::max()
                                  : ParseTime(text("to"));
  filter.mAuthor = text("author");
  filter.mProfile = text("profile");
  return filter;
}

int
PrintAudit(const OperatorTarget& aTarget,
           ReadAudit aFilter,
           const std::string& aAction)
{
  do {
    const OperatorAnswer answer =
      CallAnyHost(aTarget, "/v1/audit", ToJson(aFilter));
    if (answer.mOutcome != Outcome::Done) {
      return Report(answer);
    }
    for (const AuditRecord& record : answer.mAudit) {
      if (aAction.empty() || record.mAction == aAction) {
        PrintRecord(record);
      }
    }
    aFilter.mCursor = answer.mCursor;
  } while (!aFilter.mCursor.empty());
  return 0;
}

}
