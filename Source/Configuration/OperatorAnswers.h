#pragma once

#include <string>

#include "Messages/OperatorMessage.h"

namespace camphorstep {

struct Context;
struct State;

/// Answers an operator's request.
void AnswerTo(Context& aContext, OperatorCallId aCall, OperatorAnswer aAnswer);

/// Fills in an audit record for an operator's request.
AuditRecord MakeAudit(const State& aState,
                      const OperatorRequest& aRequest,
                      std::string aAction,
                      std::string aReason);

}
