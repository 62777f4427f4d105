#pragma once

#include "Model/Ids.h"

namespace camphorstep {

struct Context;

/// Sends a request to the dispatcher of a suitable server. Schedules a retry if
/// no such server is known, and finishes the request with an error if the
/// session's history is lost, the dispatcher's host is not reachable or the
/// server has no room.
void Attempt(Context& aContext, RequestId aId);

}
