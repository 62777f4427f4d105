#pragma once

#include <string>

#include "Gateway/Context.h"

namespace camphorstep::gateway {

/// Whether a group's servers accept fewer connections than one for each host
/// and client account, so that hosts share connections. Otherwise each host
/// opens its own.
bool AreConnectionsScarce(const Context& aContext, const Group& aGroup);

/// The host of this data centre that owns a group's connections, or nullptr if
/// that is this host. All hosts of the data centre choose the same one, but for
/// those that an owner has just failed. A host owns as many groups as its
/// processor share allows, and only its own groups move when it joins or
/// leaves.
const HostEntry* ChooseOwner(const Context& aContext,
                             const std::string& aGroup);

/// Whether an owner leaves statements unanswered at the moment.
bool IsFrozenOwner(const Context& aContext, const std::string& aHost);

/// Passes an owner over after a failure, for longer each time in a row.
void BackOffOwner(Context& aContext,
                  const std::string& aHost,
                  OwnerFailure aFailure);

/// While the first session since an owner's backoff is being opened there,
/// others pass it over.
void NoteOwnerProbe(Context& aContext, const std::string& aHost);

/// An owner has opened a session.
void NoteOwnerAcceptance(Context& aContext, const std::string& aHost);

/// An owner has answered a statement.
void NoteOwnerAnswer(Context& aContext, const std::string& aHost);

}
