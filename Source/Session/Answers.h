#pragma once

#include <string>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Answers a statement successfully without a server.
void AnswerOk(Context& aContext, Session& aSession);

/// Answers a statement that was not sent to a server with an error, and logs
/// it.
void AnswerError(Context& aContext,
                 Session& aSession,
                 const std::string& aRequest,
                 ResultCode aCode,
                 const std::string& aText);

/// Answers the active statement with a server's reply, and ends it.
void CompleteStatement(Context& aContext,
                       Session& aSession,
                       const BackendReply& aReply);

/// Answers the active statement with an error from the proxy itself, and ends
/// it. The reason is logged and is part of the error text.
void FailStatement(Context& aContext,
                   Session& aSession,
                   ResultCode aCode,
                   const std::string& aReason);

/// Refuses the active statement because its account is over its limit, and ends
/// it. The caller is told when to return.
void RefuseOverLimit(Context& aContext,
                     Session& aSession,
                     Duration aRetryAfter);

/// Whether a code guarantees to the caller that its attempt has had no lasting
/// effect, so that it can be retried.
bool HasNoEffect(ResultCode aCode);

}
