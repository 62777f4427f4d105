#include "Load/ControlPage.h"

#include <stdexcept>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

namespace camphorstep {

namespace {

const cxxtools::Milliseconds kTimeout(5'000.0);
constexpr unsigned kHttpOk = 200;

}

std::string
FetchControlPage(const Address& aControl,
                 const std::string& aPath,
                 const std::string& aQuery)
{
  cxxtools::http::Client client(aControl.mIp, aControl.mPort);
  cxxtools::http::Request request(aPath);
  request.qparams(aQuery);
  client.execute(request, kTimeout, kTimeout);
  const cxxtools::http::Reply& reply = client.readBody();
  if (reply.httpReturnCode() != kHttpOk) {
    throw std::runtime_error("the control page answered " +
                             std::to_string(reply.httpReturnCode()));
  }
  return reply.body();
}

}
