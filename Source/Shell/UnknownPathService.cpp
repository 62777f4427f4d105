#include "Shell/UnknownPathService.h"

#include <stdexcept>

#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>

#include "Shell/HttpAnswer.h"
#include "Shell/RequestFraming.h"

namespace camphorstep {

namespace {

/// A body for nobody need not be read beyond this size.
constexpr std::size_t kMaxBodyBytes = 64 * 1024;

class UnknownPathResponder : public cxxtools::http::Responder
{
public:
  using cxxtools::http::Responder::Responder;

  void beginRequest(cxxtools::net::TcpSocket& aSocket,
                    std::istream& aIn,
                    cxxtools::http::Request& aRequest) override
  {
    Responder::beginRequest(aSocket, aIn, aRequest);
    if (FindFramingFault(aRequest, kMaxBodyBytes)) {
      throw std::runtime_error("the request's body cannot be read");
    }
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request&,
             cxxtools::http::Reply& aReply) override
  {
    WriteAnswer(aOut, aReply, RefusalOf(ResultCode::UnknownPath));
  }

  void replyError(std::ostream& aOut,
                  cxxtools::http::Request&,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aError) override
  {
    WriteAnswer(
      aOut, aReply, RefusalOf(ResultCode::UnknownPath, aError.what()));
    aReply.setHeader("Connection", "close");
  }
};

}

cxxtools::http::Responder*
UnknownPathService::createResponder(const cxxtools::http::Request&)
{
  return new UnknownPathResponder(*this);
}

void
UnknownPathService::releaseResponder(cxxtools::http::Responder* aResponder)
{
  delete aResponder;
}

}
