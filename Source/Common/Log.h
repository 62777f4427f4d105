#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace camphorstep {

enum class LogLevel
{
  Debug,
  Info,
  Warning,
  Error
};

/// One named value of a log line: a text or a number.
struct LogField
{
  LogField(std::string_view aName, std::string_view aText);
  LogField(std::string_view aName, const char* aText);
  LogField(std::string_view aName, const std::string& aText);
  LogField(std::string_view aName, std::int64_t aNumber);
  LogField(std::string_view aName, std::uint64_t aNumber);
  LogField(std::string_view aName, int aNumber);
  LogField(std::string_view aName, double aNumber);

  std::string mName;
  std::string mJsonValue;
};

/// Quotes a text as a JSON string.
std::string QuoteJson(std::string_view aText);

/// Prepares logging to standard error, one JSON object a line. The process
/// name and the host name stand on every line.
void InitializeLog(std::string_view aProcess, std::string_view aHost);

/// Writes one line: time, level, event name and fields.
void WriteLog(LogLevel aLevel,
              std::string_view aEvent,
              const std::vector<LogField>& aFields = {});

}
