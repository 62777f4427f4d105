#pragma once

#include <stdexcept>
#include <string>
#include <vector>

#include "Messages/OperatorMessage.h"
#include "Model/Topology.h"

namespace camphorstep {

/// The host could not even be reached, so the request did not run.
class HostUnreachable : public std::runtime_error
{
public:
  using std::runtime_error::runtime_error;
};

/// Where operators' requests go and in whose name.
struct OperatorTarget
{
  std::vector<Address> mAddresses;
  std::string mToken;
};

/// Sends a request to one host. Throws HostUnreachable if it cannot have
/// arrived, and another exception if the answer is missing.
OperatorAnswer CallHost(const Address& aAddress,
                        const std::string& aToken,
                        const std::string& aPath,
                        const std::string& aBody);

/// Sends a request that changes nothing to the hosts in turn until one
/// answers; throws if none does.
OperatorAnswer CallAnyHost(const OperatorTarget& aTarget,
                           const std::string& aPath,
                           const std::string& aBody);

/// Publishes through the hosts in turn until one knows the outcome. A
/// request whose answer was lost may still take effect, so after it only an
/// answer that rules this out counts as a refusal.
OperatorAnswer Publish(const OperatorTarget& aTarget,
                       const PublishProfiles& aAction);

/// Draws a change identifier.
std::string MakeChangeId();

}
