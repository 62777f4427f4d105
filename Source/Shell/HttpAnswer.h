#pragma once

#include <iosfwd>
#include <string>

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>

#include "Messages/CallerMessage.h"

namespace camphorstep {

/// Writes an answer as JSON and sets the HTTP status that fits its code.
void WriteAnswer(std::ostream& aOut,
                 cxxtools::http::Reply& aReply,
                 const CallerAnswer& aAnswer);

/// The answer to a request that failed before the core saw it.
CallerAnswer RefusalOf(ResultCode aCode, std::string aResult = {});

/// The token of an "Authorization: Bearer TOKEN" header, or empty.
std::string BearerToken(const cxxtools::http::Request& aRequest);

/// The HTTP status for a result code.
unsigned HttpStatusOf(ResultCode aCode);

}
