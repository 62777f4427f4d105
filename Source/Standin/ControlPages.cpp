#include "Standin/ControlPages.h"

#include <list>
#include <ostream>
#include <thread>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>

namespace camphorstep {

namespace {

class PageResponder : public cxxtools::http::Responder
{
public:
  PageResponder(cxxtools::http::Service& aService,
                const ControlPages::Handler& aHandler)
    : cxxtools::http::Responder(aService)
    , mHandler(aHandler)
  {
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    aReply.setHeader("Content-Type", "application/json");
    mHandler(aOut, cxxtools::QueryParams(aRequest.qparams()));
  }

private:
  const ControlPages::Handler& mHandler;
};

class PageService : public cxxtools::http::Service
{
public:
  explicit PageService(ControlPages::Handler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new PageResponder(*this, mHandler);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  ControlPages::Handler mHandler;
};

}

class ControlPages::Impl
{
public:
  explicit Impl(const Address& aListen)
    : mServer(mLoop, aListen.mIp, aListen.mPort)
  {
  }

  ~Impl()
  {
    mLoop.exit();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  void Add(const std::string& aPath, Handler aHandler)
  {
    mServer.addService(aPath, mServices.emplace_back(std::move(aHandler)));
  }

  void Start()
  {
    mThread = std::thread([this] { mLoop.run(); });
  }

private:
  std::list<PageService> mServices;
  cxxtools::EventLoop mLoop;
  cxxtools::http::Server mServer;
  std::thread mThread;
};

ControlPages::ControlPages(const Address& aListen)
  : mImpl(std::make_unique<Impl>(aListen))
{
}

ControlPages::~ControlPages() = default;

void
ControlPages::Add(const std::string& aPath, Handler aHandler)
{
  mImpl->Add(aPath, std::move(aHandler));
}

void
ControlPages::Start()
{
  mImpl->Start();
}

}
