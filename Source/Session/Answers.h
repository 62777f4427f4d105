#pragma once

#include <string>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Answers a statement that no server had to run.
void AnswerOk(Context& aContext, Session& aSession);

/// Answers a statement with an error, and logs it.
void AnswerError(Context& aContext,
                 Session& aSession,
                 const std::string& aRequest,
                 ResultCode aCode,
                 const std::string& aText);

/// Answers the active statement with what a server replied, and ends it.
void CompleteStatement(Context& aContext,
                       Session& aSession,
                       const BackendReply& aReply);

/// Answers the active statement with an error of the proxy's own, and ends
/// it. The reason stands in the log.
void FailStatement(Context& aContext,
                   Session& aSession,
                   ResultCode aCode,
                   const std::string& aReason);

/// Whether a code promises the caller that nothing of its attempt is kept.
bool PromisesNotKept(ResultCode aCode);

}
