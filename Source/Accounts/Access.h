#pragma once

#include <cstdint>

#include "Accounts/AccountTable.h"
#include "Common/Time.h"

namespace camphorstep::gateway {

/// Whether a caller may be served.
enum class Access : std::uint8_t
{
  Granted,
  /// No account has the caller's key.
  UnknownKey,
  /// The caller's key belongs to another account than when it began.
  OtherAccount,
  /// The key may have been taken away since the configuration was confirmed.
  Unconfirmed,
};

/// What the decision about a caller depends on besides the accounts.
struct CallerIdentity
{
  KeyDigest mKey;
  /// Whether its route needs no key.
  bool mIsOnPublicRoute = false;
};

/// How far the configuration can be relied on.
struct Confirmation
{
  /// Time since a moment at which the store had nothing newer.
  Duration mAge{ 0 };
  /// The age from which the configuration is out of date; zero if it never is.
  Duration mLimit{ 0 };
};

/// The decision about a caller, and the account in whose name it is served;
/// none on public routes.
struct AccessDecision
{
  Access mAccess = Access::Granted;
  AccountId mAccount;
};

bool IsOutOfDate(const Confirmation& aConfirmation);

/// Decides whether a caller may open a session or begin an operation. An
/// unconfirmed configuration goes first: a key that it lacks may be new.
AccessDecision DecideAccess(const AccountTable& aTable,
                            const CallerIdentity& aCaller,
                            const Confirmation& aConfirmation);

/// Decides whether an operation that was begun in the name of an account may go
/// on. The caller's own key still has to belong to that account; another key of
/// the account does not count.
Access DecideContinuation(const AccountTable& aTable,
                          const CallerIdentity& aCaller,
                          const Confirmation& aConfirmation,
                          AccountId aAccount);

}
