#include "Shell/RequestFraming.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace camphorstep {

std::optional<ResultCode>
FindFramingFault(const cxxtools::http::Request& aRequest, std::size_t aMaxBytes)
{
  if (aRequest.hasHeader("Transfer-Encoding")) {
    return ResultCode::MalformedRequest;
  }
  const char* const header = aRequest.getHeader("Content-Length");
  if (header == nullptr) {
    return std::nullopt;
  }
  const std::string_view text = header;
  std::size_t length = 0;
  const auto [end, ec] =
    std::from_chars(text.data(), text.data() + text.size(), length);
  if (ec == std::errc::result_out_of_range) {
    return ResultCode::RequestTooLarge;
  }
  if (ec != std::errc() || end != text.data() + text.size()) {
    return ResultCode::MalformedRequest;
  }
  return length > aMaxBytes ? std::optional(ResultCode::RequestTooLarge)
                            : std::nullopt;
}

}
