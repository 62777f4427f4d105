#pragma once

#include "Dispatcher/DispatcherState.h"
#include "Messages/PeerMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/ResultCode.h"

namespace camphorstep {

struct Context;

/// Returns the latest view of a server, with its age relative to aAskedAt, the
/// time of the request for it. Without a sample, only the server's id is set.
ServerView ViewFor(const ServerDispatch& aDispatch,
                   ServerId aServer,
                   Instant aAskedAt);

/// Sends an answer to the host that forwarded the request, with the current
/// view of the server and its intake.
void Answer(Context& aContext,
            const ServerDispatch& aDispatch,
            const QueuedRequest& aQueued,
            ForwardAnswer aAnswer);

/// Sends a failure to the host that forwarded the request. Overloaded carries
/// a delay after which to retry.
void AnswerFailure(Context& aContext,
                   const ServerDispatch& aDispatch,
                   const QueuedRequest& aQueued,
                   ResultCode aCode,
                   Outcome aOutcome);

/// Converts a server's reply into the answer to the request.
ForwardAnswer MakeAnswer(const ServerReply& aReply);

}
