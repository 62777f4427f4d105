#pragma once

#include <cxxtools/http/service.h>

namespace camphorstep {

/// Answers requests for paths that a listener does not have.
class UnknownPathService : public cxxtools::http::Service
{
protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override;
  void releaseResponder(cxxtools::http::Responder* aResponder) override;
};

}
