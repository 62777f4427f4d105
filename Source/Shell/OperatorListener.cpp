#include "Shell/OperatorListener.h"

#include <functional>
#include <ostream>
#include <thread>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/json.h>
#include <cxxtools/query_params.h>
#include <cxxtools/regex.h>
#include <cxxtools/serializationinfo.h>

#include "Shell/HttpAnswer.h"
#include "Shell/InputGuard.h"
#include "Shell/RequestFraming.h"
#include "Shell/UnknownPathService.h"

namespace camphorstep {

// Found by argument-dependent lookup, so not in the anonymous namespace.
static void
operator<<=(cxxtools::SerializationInfo& aInfo, const DatabaseStatus& aDatabase)
{
  aInfo.addMember("name") <<= aDatabase.mName;
  aInfo.addMember("primary") <<= aDatabase.mPrimary;
  aInfo.addMember("term") <<= aDatabase.mTerm;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const PeerSummary& aPeer)
{
  aInfo.addMember("name") <<= aPeer.mName;
  aInfo.addMember("connected") <<= aPeer.mConnected;
  aInfo.addMember("leaving") <<= aPeer.mLeaving;
}

static void
operator<<=(cxxtools::SerializationInfo& aInfo, const StatusSnapshot& aSnapshot)
{
  aInfo.addMember("host") <<= aSnapshot.mHost;
  aInfo.addMember("version") <<= aSnapshot.mVersion;
  aInfo.addMember("stopping") <<= aSnapshot.mStopping;
  aInfo.addMember("databases") <<= aSnapshot.mDatabases;
  aInfo.addMember("peers") <<= aSnapshot.mPeers;
}

namespace {

/// The largest body that operators may send.
constexpr std::size_t kMaxBodyBytes = 4 * 1024 * 1024;
/// What a connection may send in all: operators' connections are short.
constexpr std::uint64_t kMaxConnectionBytes = 16 * 1024 * 1024;
constexpr unsigned kThreads = 4;
constexpr unsigned kHttpOk = 200;
constexpr unsigned kHttpUnavailable = 503;

/// Answers one path of the listener.
using Handler = std::function<
  void(std::ostream&, const cxxtools::http::Request&, cxxtools::http::Reply&)>;

class FunctionResponder : public cxxtools::http::Responder
{
public:
  FunctionResponder(cxxtools::http::Service& aService, const Handler& aHandler)
    : cxxtools::http::Responder(aService)
    , mHandler(aHandler)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& aSocket,
                    std::istream& aIn,
                    cxxtools::http::Request& aRequest) override
  {
    Responder::beginRequest(aSocket, aIn, aRequest);
    if (FindFramingFault(aRequest, kMaxBodyBytes)) {
      throw std::runtime_error("the request's body cannot be read");
    }
  }

  void replyError(std::ostream& aOut,
                  cxxtools::http::Request&,
                  cxxtools::http::Reply& aReply,
                  const std::exception& aError) override
  {
    WriteAnswer(
      aOut, aReply, RefusalOf(ResultCode::MalformedRequest, aError.what()));
    aReply.setHeader("Connection", "close");
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    mHandler(aOut, aRequest, aReply);
  }

private:
  const Handler& mHandler;
};

class FunctionService : public cxxtools::http::Service
{
public:
  explicit FunctionService(Handler aHandler)
    : mHandler(std::move(aHandler))
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new FunctionResponder(*this, mHandler);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  Handler mHandler;
};

}

class OperatorListener::Impl
{
public:
  Impl(const Settings& aSettings, const StatusBoard& aBoard, EventSink& aSink)
    : mSettings(aSettings)
    , mBoard(aBoard)
    , mSink(aSink)
    , mHealth([this](auto& aOut, const auto&, auto& aReply) {
      ReplyHealth(aOut, aReply);
    })
    , mStatus([this](auto& aOut, const auto& aRequest, auto& aReply) {
      ReplyStatus(aOut, aRequest, aReply);
    })
    , mSwitchOver([this](auto& aOut, const auto& aRequest, auto& aReply) {
      ReplySwitchOver(aOut, aRequest, aReply);
    })
    , mGuard(aSettings.mOperatorAddress, kMaxConnectionBytes)
    , mServer(mLoop,
              aSettings.mOperatorAddress.mIp,
              aSettings.mOperatorAddress.mPort)
  {
    mServer.minThreads(kThreads);
    mServer.maxThreads(kThreads);
    mServer.addService("/health", mHealth);
    mServer.addService("/v1/status", mStatus);
    mServer.addService("/v1/switch-over", mSwitchOver);
    // Matched last.
    mServer.addService(cxxtools::Regex(".*"), mUnknownPaths);
    mThread = std::thread([this] { mLoop.run(); });
  }

  ~Impl()
  {
    mLoop.exit();
    mThread.join();
  }

private:
  void ReplyHealth(std::ostream& aOut, cxxtools::http::Reply& aReply)
  {
    const StatusSnapshot snapshot = mBoard.Get();
    const bool healthy = !snapshot.mStopping && snapshot.mVersion > 0;
    aReply.httpReturn(healthy ? kHttpOk : kHttpUnavailable,
                      healthy ? "OK" : "Unavailable");
    aOut << (healthy ? "ok\n" : "unavailable\n");
  }

  void ReplyStatus(std::ostream& aOut,
                   const cxxtools::http::Request& aRequest,
                   cxxtools::http::Reply& aReply)
  {
    if (!mSettings.mOperators.contains(BearerToken(aRequest))) {
      WriteAnswer(aOut, aReply, RefusalOf(ResultCode::Unauthenticated));
      return;
    }
    aReply.setHeader("Content-Type", "application/json");
    aOut << cxxtools::Json(mBoard.Get());
  }

  void ReplySwitchOver(std::ostream& aOut,
                       const cxxtools::http::Request& aRequest,
                       cxxtools::http::Reply& aReply)
  {
    if (!mSettings.mOperators.contains(BearerToken(aRequest))) {
      WriteAnswer(aOut, aReply, RefusalOf(ResultCode::Unauthenticated));
      return;
    }
    const cxxtools::QueryParams params(aRequest.qparams());
    const ServerId server = IdOf<ServerId>(params.param("server"));
    if (aRequest.method() != "POST" ||
        mSettings.mTopology.FindServer(server) == nullptr) {
      WriteAnswer(aOut,
                  aReply,
                  RefusalOf(ResultCode::InvalidField,
                            "POST with the name of a server is expected"));
      return;
    }
    mSink.Post(ServerLeaving{ server });
    WriteAnswer(aOut, aReply, CallerAnswer{});
  }

  const Settings& mSettings;
  const StatusBoard& mBoard;
  EventSink& mSink;
  FunctionService mHealth;
  FunctionService mStatus;
  FunctionService mSwitchOver;
  UnknownPathService mUnknownPaths;
  InputGuard mGuard;
  cxxtools::EventLoop mLoop;
  cxxtools::http::Server mServer;
  std::thread mThread;
};

OperatorListener::OperatorListener(const Settings& aSettings,
                                   const StatusBoard& aBoard,
                                   EventSink& aSink)
  : mImpl(std::make_unique<Impl>(aSettings, aBoard, aSink))
{
}

OperatorListener::~OperatorListener() = default;

}
