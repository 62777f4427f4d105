#include "Common/Log.h"

#include <array>
#include <chrono>
#include <cstdio>

#include <easylogging++.h>

#include "Common/NamedEnum.h"

INITIALIZE_EASYLOGGINGPP

namespace camphorstep {

namespace {

constexpr std::array kLevelNames{
  EnumName<LogLevel>{ LogLevel::Debug, "debug" },
  EnumName<LogLevel>{ LogLevel::Info, "info" },
  EnumName<LogLevel>{ LogLevel::Warning, "warning" },
  EnumName<LogLevel>{ LogLevel::Error, "error" },
};

/// The part of each line that names the process and host.
std::string&
LinePrefix()
{
  static std::string prefix;
  return prefix;
}

std::int64_t
UnixMilliseconds()
{
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch())
    .count();
}

}

std::string
QuoteJson(std::string_view aText)
{
  std::string quoted = "\"";
  for (const char ch : aText) {
    const auto code = static_cast<unsigned char>(ch);
    if (ch == '"' || ch == '\\') {
      quoted += '\\';
      quoted += ch;
    } else if (code < 0x20U || code >= 0x7fU) {
      std::array<char, 8> buf{};
      std::snprintf(buf.data(), buf.size(), "\\u%04x", code);
      quoted += buf.data();
    } else {
      quoted += ch;
    }
  }
  return quoted + '"';
}

LogField::LogField(std::string_view aName, std::string_view aText)
  : mName(aName)
  , mJsonValue(QuoteJson(aText))
{
}

LogField::LogField(std::string_view aName, const char* aText)
  : LogField(aName, std::string_view(aText))
{
}

LogField::LogField(std::string_view aName, const std::string& aText)
  : LogField(aName, std::string_view(aText))
{
}

LogField::LogField(std::string_view aName, std::int64_t aNumber)
  : mName(aName)
  , mJsonValue(std::to_string(aNumber))
{
}

LogField::LogField(std::string_view aName, std::uint64_t aNumber)
  : mName(aName)
  , mJsonValue(std::to_string(aNumber))
{
}

LogField::LogField(std::string_view aName, int aNumber)
  : mName(aName)
  , mJsonValue(std::to_string(aNumber))
{
}

LogField::LogField(std::string_view aName, double aNumber)
  : mName(aName)
  , mJsonValue(std::to_string(aNumber))
{
}

void
InitializeLog(std::string_view aProcess, std::string_view aHost)
{
  LinePrefix() =
    ",\"process\":" + QuoteJson(aProcess) + ",\"host\":" + QuoteJson(aHost);
  el::Configurations settings;
  settings.setToDefault();
  settings.setGlobally(el::ConfigurationType::Format, "%msg");
  settings.setGlobally(el::ConfigurationType::ToFile, "false");
  settings.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  el::Loggers::reconfigureAllLoggers(settings);
}

void
WriteLog(LogLevel aLevel,
         std::string_view aEvent,
         const std::vector<LogField>& aFields)
{
  std::string line = "{\"time_ms\":" + std::to_string(UnixMilliseconds()) +
                     ",\"level\":" + QuoteJson(NameIn(kLevelNames, aLevel)) +
                     LinePrefix() + ",\"event\":" + QuoteJson(aEvent);
  for (const LogField& field : aFields) {
    line += "," + QuoteJson(field.mName) + ":" + field.mJsonValue;
  }
  line += "}";
  LOG(INFO) << line;
}

}
