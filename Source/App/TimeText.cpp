#include "App/TimeText.h"

#include <array>
#include <ctime>
#include <stdexcept>

namespace camphorstep {

namespace {

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

}

std::string
FormatTime(std::int64_t aTime)
{
  const auto seconds = static_cast<std::time_t>(aTime / kMicrosecondsPerSecond);
  std::tm parts{};
  ::gmtime_r(&seconds, &parts);
  std::array<char, 32> buf{};
  const std::size_t n =
    std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return { buf.data(), n };
}

std::int64_t
ParseTime(const std::string& aText)
{
  for (const char* const format :
       { "%Y-%m-%dT%H:%M:%SZ", "%Y-%m-%dT%H:%M", "%Y-%m-%d" }) {
    std::tm parts{};
    const char* const end = ::strptime(aText.c_str(), format, &parts);
    if (end != nullptr && *end == '\0') {
      return std::int64_t{ ::timegm(&parts) } * kMicrosecondsPerSecond;
    }
  }
  throw std::runtime_error("'" + aText +
                           "' is not a time such as 2026-12-04T07:50:00Z");
}

}
