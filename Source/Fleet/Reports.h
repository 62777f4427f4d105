#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

/// Answers another host's query, now or when there is news.
void HandlePeerAsked(Context& aContext, const PeerQueryReceived& aEvent);

/// Answers all queries that wait, with what this host knows now.
void AnswerPendingQueries(Context& aContext);

/// Has the queries that wait answered within a short time, so that the
/// answers of several servers go out together.
void ScheduleQueryAnswers(Context& aContext);

/// Takes what another host reports into account, which was sent at a time
/// or later.
void ApplyReport(Context& aContext, const PeerReport& aReport, Instant aSentAt);

}
