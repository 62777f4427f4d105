#pragma once

#include "Gateway/Context.h"
#include "Gateway/Event.h"

namespace camphorstep::gateway {

void HandleLinkReady(Context& aContext, const LinkReady& aEvent);

void HandleLinkClosed(Context& aContext, const LinkClosed& aEvent);

void HandleLinkReplied(Context& aContext, const LinkReplied& aEvent);

}
