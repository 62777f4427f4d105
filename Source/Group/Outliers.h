#pragma once

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Notes that a server answered a caller's statement with success. An ejected
/// server that has served enough trials gets reads again.
void NoteServed(Context& aContext, Backend& aBackend);

/// Notes that a caller's statement failed at a server for a reason of the
/// server's. Ejects the server if it fails clearly more than the others of its
/// group.
void NoteFailed(Context& aContext, Backend& aBackend);

/// The same for a statement that got no answer: its connection was lost, or its
/// time passed.
void NoteUnanswered(Context& aContext, Backend& aBackend);

}
