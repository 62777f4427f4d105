#include "Shell/LogRecords.h"

#include <vector>

#include "Common/Log.h"

namespace camphorstep {

namespace {

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
    fields.emplace_back(value.mName, value.mValue);
  }
  WriteLog(LevelOf(aRecord.mSeverity), aRecord.mEvent, fields);
}

}
