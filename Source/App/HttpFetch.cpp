#include "App/HttpFetch.h"

#include <stdexcept>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

namespace camphorstep {

namespace {

constexpr unsigned kHttpOk = 200;
const cxxtools::Milliseconds kTimeout(5'000.0);

}

std::string
FetchPage(const Address& aAddress,
          const std::string& aPath,
          const std::string& aToken)
{
  cxxtools::http::Client client(aAddress.mIp, aAddress.mPort);
  cxxtools::http::Request request(aPath);
  const std::string authorization = "Bearer " + aToken;
  request.setHeader("Authorization", authorization.c_str());
  client.execute(request, kTimeout, kTimeout);
  const cxxtools::http::Reply& reply = client.readBody();
  if (reply.httpReturnCode() != kHttpOk) {
    throw std::runtime_error("the host answered " +
                             std::to_string(reply.httpReturnCode()) + " " +
                             reply.httpReturnText());
  }
  return reply.body();
}

}
