#include "Shell/OperatorCalls.h"

#include <iostream>
#include <optional>
#include <random>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "Shell/OperatorJson.h"

namespace camphorstep {

namespace {

/// Longer than a host tries to publish.
const cxxtools::Milliseconds kAnswerTimeout(25'000.0);
constexpr int kPublishRounds = 2;

/// Whether an answer rules out that an earlier copy of the request was
/// accepted or still can be.
bool
IsFinal(const OperatorAnswer& aAnswer)
{
  return aAnswer.mOutcome == Outcome::Done ||
         aAnswer.mCode == ResultCode::VersionConflict ||
         aAnswer.mCode == ResultCode::InvalidProfile;
}

OperatorAnswer
MakeUnknown(const PublishProfiles& aAction)
{
  OperatorAnswer answer;
  answer.mCode = ResultCode::StoreUnavailable;
  answer.mOutcome = Outcome::Unknown;
  answer.mMessage = "it is not known whether the change was accepted; repeat "
                    "the command with --base " +
                    std::to_string(aAction.mBaseVersion) + " --change-id " +
                    aAction.mChangeId;
  return answer;
}

}

OperatorAnswer
CallHost(const Address& aAddress,
         const std::string& aToken,
         const std::string& aPath,
         const std::string& aBody)
{
  cxxtools::http::Client client(aAddress.mIp, aAddress.mPort);
  try {
    client.connect();
  } catch (const std::exception& ex) {
    throw HostUnreachable(aAddress.mIp + " cannot be reached: " + ex.what());
  }
  cxxtools::http::Request request(aPath);
  request.method("POST");
  const std::string authorization = "Bearer " + aToken;
  request.setHeader("Authorization", authorization.c_str());
  request.body() << aBody;
  client.execute(request, kAnswerTimeout, kAnswerTimeout);
  OperatorAnswer answer;
  FromJson(client.readBody().body(), answer);
  return answer;
}

OperatorAnswer
CallAnyHost(const OperatorTarget& aTarget,
            const std::string& aPath,
            const std::string& aBody)
{
  std::string error;
  std::optional<OperatorAnswer> refusal;
  for (const Address& address : aTarget.mAddresses) {
    try {
      OperatorAnswer answer = CallHost(address, aTarget.mToken, aPath, aBody);
      if (answer.mCode != ResultCode::StoreUnavailable) {
        return answer;
      }
      refusal = answer;
    } catch (const std::exception& ex) {
      error = ex.what();
    }
  }
  if (refusal) {
    return *refusal;
  }
  throw std::runtime_error(error);
}

OperatorAnswer
Publish(const OperatorTarget& aTarget, const PublishProfiles& aAction)
{
  const std::string body = ToJson(aAction);
  bool mayBeAccepted = false;
  std::optional<OperatorAnswer> refusal;
  for (int round = 0; round < kPublishRounds; ++round) {
    for (const Address& address : aTarget.mAddresses) {
      try {
        OperatorAnswer answer =
          CallHost(address, aTarget.mToken, "/v1/profile/publish", body);
        if (IsFinal(answer)) {
          return answer;
        }
        mayBeAccepted = mayBeAccepted || answer.mOutcome == Outcome::Unknown;
        refusal = answer;
      } catch (const HostUnreachable& ex) {
        std::cerr << ex.what() << "\n";
      } catch (const std::exception& ex) {
        std::cerr << address.mIp << " gave no answer: " << ex.what() << "\n";
        mayBeAccepted = true;
      }
    }
  }
  if (mayBeAccepted) {
    return MakeUnknown(aAction);
  }
  if (!refusal) {
    throw std::runtime_error("no host could be reached; nothing was published");
  }
  return *refusal;
}

std::string
MakeChangeId()
{
  constexpr int kLength = 20;
  constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuvwxyz";
  std::random_device random;
  std::uniform_int_distribution<std::size_t> draw(0, kDigits.size() - 1);
  std::string id;
  for (int n = 0; n < kLength; ++n) {
    id += kDigits[draw(random)];
  }
  return id;
}

}
