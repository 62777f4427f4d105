#include "Accounts/Access.h"

namespace camphorstep::gateway {

bool
IsOutOfDate(const Confirmation& aConfirmation)
{
  return aConfirmation.mLimit > Duration{ 0 } &&
         aConfirmation.mAge >= aConfirmation.mLimit;
}

AccessDecision
DecideAccess(const AccountTable& aTable,
             const CallerIdentity& aCaller,
             const Confirmation& aConfirmation)
{
  if (aCaller.mIsOnPublicRoute) {
    return {};
  }
  if (IsOutOfDate(aConfirmation)) {
    return { Access::Unconfirmed, {} };
  }
  const AccountId account = AccountOfKey(aTable, aCaller.mKey);
  return { account ? Access::Granted : Access::UnknownKey, account };
}

Access
DecideContinuation(const AccountTable& aTable,
                   const CallerIdentity& aCaller,
                   const Confirmation& aConfirmation,
                   AccountId aAccount)
{
  const AccessDecision decision = DecideAccess(aTable, aCaller, aConfirmation);
  const bool isOfOtherAccount =
    decision.mAccess == Access::Granted && decision.mAccount != aAccount;
  return isOfOtherAccount ? Access::OtherAccount : decision.mAccess;
}

}
