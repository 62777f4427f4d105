#include "Catalogue/Routing.h"

#include "RateLimits/RateLimits.h"

namespace camphorstep::gateway {

bool
ApplyRouting(Context& aContext, const RoutingVersion& aVersion)
{
  Catalogue& catalogue = aContext.mState.mCatalogue;
  if (aVersion.mVersion <= catalogue.mRoutingVersion) {
    return false;
  }
  Log(aContext,
      LogSeverity::Info,
      "configuration in force",
      { { "version", std::to_string(aVersion.mVersion) },
        { "former_version", std::to_string(catalogue.mRoutingVersion) },
        { "routes", std::to_string(aVersion.mRoutes.size()) },
        { "accounts",
          std::to_string(aVersion.mAccountRules
                           ? aVersion.mAccountRules->mAccounts.size()
                           : 0) } });
  catalogue.mRoutingVersion = aVersion.mVersion;
  catalogue.mTransactionIdleTimeout = aVersion.mTransactionIdleTimeout;
  catalogue.mRoutes.clear();
  for (const Route& route : aVersion.mRoutes) {
    catalogue.mRoutes[route.mDatabase] = route;
  }
  catalogue.mAccounts.reset();
  if (aVersion.mAccountRules) {
    catalogue.mAccounts = MakeAccountTable(*aVersion.mAccountRules);
  }
  for (const GroupRules& rules : aVersion.mGroups) {
    Group& group = aContext.mState.mGroups[IdOf<GroupId>(rules.mName)];
    group.mId = IdOf<GroupId>(rules.mName);
    group.mName = rules.mName;
    group.mRules = rules;
  }
  ApplyLimits(aContext, aVersion);
  return true;
}

}
