#include "Shell/LogRecords.h"

#include <vector>

#include "Common/Log.h"

namespace camphorstep {

namespace {

/// Callers choose some values, such as ids, and may make them very long.
constexpr std::size_t kMaxValueBytes = 512;

LogLevel
LevelOf(LogSeverity aSeverity)
{
  switch (aSeverity) {
    case LogSeverity::Info:
      return LogLevel::Info;
    case LogSeverity::Warning:
      return LogLevel::Warning;
    case LogSeverity::Error:
      return LogLevel::Error;
  }
  return LogLevel::Info;
}

}

void
WriteRecord(const WriteLogRecord& aRecord)
{
  std::vector<LogField> fields;
  for (const LogValue& value : aRecord.mValues) {
    fields.emplace_back(
      value.mName, std::string_view(value.mValue).substr(0, kMaxValueBytes));
  }
  WriteLog(LevelOf(aRecord.mSeverity), aRecord.mEvent, fields);
}

}
