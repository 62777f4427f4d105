#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// How long the server's control connection may leave a request unanswered, or
/// take to open, before it is replaced. Grows with a server's lateness, so that
/// a late answer is used rather than asked for again.
Duration ControlTimeout(const Context& aContext, const Backend& aBackend);

/// Whether a control connection to the server may be opened now. After failures
/// in a row each host waits longer, for a time of its own: all of them need
/// more connections than a server has.
bool MayOpenControl(const Context& aContext, const Backend& aBackend);

/// Notes that a control connection was refused, lost or given up for silence.
void NoteControlFailure(Context& aContext, Backend& aBackend);

/// Replaces the control connection because of its silence. One that was open is
/// kept for a while beside the next one, in case that its answer is only late.
void KeepLateControl(Context& aContext, Backend& aBackend);

/// Closes the former control connection once its answer is too late to be used.
void DropOverdueControl(Context& aContext, Backend& aBackend);

/// The server took a time to answer a request on a control connection. If that
/// was the former one, it is used again unless another one is open.
void HandleControlAnswer(Context& aContext,
                         Backend& aBackend,
                         LinkId aLink,
                         Duration aResponseTime);

}
