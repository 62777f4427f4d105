#pragma once

#include <cstddef>
#include <optional>

#include <cxxtools/http/request.h>

#include "Model/ResultCode.h"

namespace camphorstep {

/// Tells from a request's header why its body cannot be read: its length is
/// not a plain number, above the limit, or not given at all because the body
/// comes in chunks, which the library does not read. The end of such a request
/// is not known, so the connection must not be used again.
std::optional<ResultCode> FindFramingFault(
  const cxxtools::http::Request& aRequest,
  std::size_t aMaxBytes);

}
