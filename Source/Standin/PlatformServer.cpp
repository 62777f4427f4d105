#include "Standin/PlatformServer.h"

#include <functional>
#include <ostream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include <cxxtools/eventloop.h>
#include <cxxtools/http/reply.h>
#include <cxxtools/http/request.h>
#include <cxxtools/http/responder.h>
#include <cxxtools/http/server.h>
#include <cxxtools/http/service.h>
#include <cxxtools/json.h>
#include <cxxtools/net/tcpsocket.h>
#include <cxxtools/query_params.h>
#include <cxxtools/serializationinfo.h>

#include <sys/socket.h>

#include "Standin/Faults.h"
#include "Standin/PlatformFaults.h"
#include "Standin/PlatformState.h"
#include "Wire/StoreJson.h"

namespace camphorstep {

/// How many operations of each kind took effect.
struct PlatformCounters
{
  std::atomic<std::uint64_t> mReads{ 0 };
  std::atomic<std::uint64_t> mWrites{ 0 };
  std::atomic<std::uint64_t> mHostLists{ 0 };
};

// Found by argument-dependent lookup, so not in the anonymous namespace.
static void
operator<<=(cxxtools::SerializationInfo& aInfo,
            const PlatformCounters& aCounters)
{
  aInfo.addMember("reads") <<= aCounters.mReads.load();
  aInfo.addMember("writes") <<= aCounters.mWrites.load();
  aInfo.addMember("host_lists") <<= aCounters.mHostLists.load();
}

namespace {

constexpr unsigned kThreads = 64;

/// Carries out one operation: query parameters and body to answer.
using Operation =
  std::function<std::string(const cxxtools::QueryParams&, const std::string&)>;

class PlatformResponder : public cxxtools::http::Responder
{
public:
  PlatformResponder(cxxtools::http::Service& aService,
                    const Operation& aOperation,
                    PlatformFaults* aFaults)
    : cxxtools::http::Responder(aService)
    , mOperation(aOperation)
    , mFaults(aFaults)
  {
  }

  void beginRequest(cxxtools::net::TcpSocket& aSocket,
                    std::istream& aIn,
                    cxxtools::http::Request& aRequest) override
  {
    mSocket = &aSocket;
    mBody.clear();
    cxxtools::http::Responder::beginRequest(aSocket, aIn, aRequest);
  }

  std::size_t readBody(std::istream& aIn) override
  {
    const std::streamsize n = aIn.rdbuf()->in_avail();
    std::string part(static_cast<std::size_t>(n), '\0');
    aIn.rdbuf()->sgetn(part.data(), n);
    mBody += part;
    return part.size();
  }

  void reply(std::ostream& aOut,
             cxxtools::http::Request& aRequest,
             cxxtools::http::Reply& aReply) override
  {
    aReply.setHeader("Content-Type", "application/json");
    const cxxtools::QueryParams params(aRequest.qparams());
    if (mFaults == nullptr) {
      aOut << mOperation(params, mBody);
      return;
    }
    const AnswerFate fate = mFaults->DrawFate();
    const Duration half = std::chrono::milliseconds(mFaults->mSlowMs) / 2;
    if (fate == AnswerFate::LostBefore) {
      CutConnection();
      return;
    }
    SleepFor(half);
    const std::string answer = mOperation(params, mBody);
    SleepFor(half);
    if (fate == AnswerFate::LostAfter || mFaults->mDown) {
      CutConnection();
      return;
    }
    aOut << answer;
  }

private:
  void CutConnection() { ::shutdown(mSocket->getFd(), SHUT_RDWR); }

  const Operation& mOperation;
  PlatformFaults* mFaults;
  cxxtools::net::TcpSocket* mSocket = nullptr;
  std::string mBody;
};

class PlatformService : public cxxtools::http::Service
{
public:
  /// Without faults the service always answers.
  PlatformService(Operation aOperation, PlatformFaults* aFaults)
    : mOperation(std::move(aOperation))
    , mFaults(aFaults)
  {
  }

protected:
  cxxtools::http::Responder* createResponder(
    const cxxtools::http::Request&) override
  {
    return new PlatformResponder(*this, mOperation, mFaults);
  }

  void releaseResponder(cxxtools::http::Responder* aResponder) override
  {
    delete aResponder;
  }

private:
  Operation mOperation;
  PlatformFaults* mFaults;
};

std::string
JsonOf(const std::vector<std::string>& aNames)
{
  std::ostringstream out;
  out << cxxtools::Json(aNames);
  return std::move(out).str();
}

}

class PlatformServer::Impl
{
public:
  Impl(const Address& aListen, const Address& aControl)
    : mStore(mLoop, aListen.mIp, aListen.mPort)
    , mControl(mControlLoop, aControl.mIp, aControl.mPort)
  {
    mStore.minThreads(kThreads);
    mStore.maxThreads(kThreads);
    AddStoreServices();
    AddControlServices();
    mControlThread = std::thread([this] { mControlLoop.run(); });
  }

  ~Impl()
  {
    mControlLoop.exit();
    mControlThread.join();
  }

  void Run() { mLoop.run(); }

private:
  using Params = cxxtools::QueryParams;

  void Serve(const char* aPath, Operation aOperation)
  {
    mServices.push_back(
      std::make_unique<PlatformService>(std::move(aOperation), &mFaults));
    mStore.addService(aPath, *mServices.back());
  }

  void ServeControl(const char* aPath, Operation aOperation)
  {
    mServices.push_back(
      std::make_unique<PlatformService>(std::move(aOperation), nullptr));
    mControl.addService(aPath, *mServices.back());
  }

  void AddStoreServices()
  {
    Serve("/v1/table/query", [this](const Params&, const std::string& aBody) {
      StoreQuery query;
      FromJson(aBody, query);
      ++mCounters.mReads;
      return ToJson(mState.Query(query));
    });
    Serve("/v1/table/transact",
          [this](const Params&, const std::string& aBody) {
            StoreTransaction transaction;
            FromJson(aBody, transaction);
            ++mCounters.mWrites;
            return ToJson(StoreCommit{ mState.Transact(transaction) });
          });
    Serve("/v1/objects/put",
          [this](const Params& aParams, const std::string& aBody) {
            ++mCounters.mWrites;
            mState.PutObject(aParams.param("name"), aBody);
            return std::string("{}");
          });
    Serve("/v1/objects/get", [this](const Params& aParams, const std::string&) {
      ++mCounters.mReads;
      const auto content = mState.GetObject(aParams.param("name"));
      if (!content) {
        throw std::runtime_error("there is no such object");
      }
      return *content;
    });
    Serve("/v1/objects/list",
          [this](const Params& aParams, const std::string&) {
            ++mCounters.mReads;
            return JsonOf(mState.ListObjects(aParams.param("prefix")));
          });
    Serve("/v1/hosts", [this](const Params&, const std::string&) {
      ++mCounters.mHostLists;
      return ToJson(
        mState.Machines(std::chrono::milliseconds(mFaults.mHostsLagMs)));
    });
  }

  void AddControlServices()
  {
    ServeControl("/control", [this](const Params& aParams, const std::string&) {
      ApplyFaults(aParams);
      return std::string("{\"ok\":true}");
    });
    ServeControl("/machine", [this](const Params& aParams, const std::string&) {
      ApplyMachine(aParams);
      return std::string("{\"ok\":true}");
    });
    ServeControl("/counters", [this](const Params&, const std::string&) {
      std::ostringstream out;
      out << cxxtools::Json(mCounters);
      return std::move(out).str();
    });
  }

  void ApplyFaults(const Params& aParams)
  {
    if (aParams.has("seed")) {
      mFaults.Seed(std::stoull(aParams.param("seed")));
    }
    if (aParams.has("slow_ms")) {
      mFaults.mSlowMs = std::stoll(aParams.param("slow_ms"));
    }
    if (aParams.has("lost_before")) {
      mFaults.mLostBeforePercent = std::stoi(aParams.param("lost_before"));
    }
    if (aParams.has("lost_after")) {
      mFaults.mLostAfterPercent = std::stoi(aParams.param("lost_after"));
    }
    if (aParams.has("hosts_lag_ms")) {
      mFaults.mHostsLagMs = std::stoll(aParams.param("hosts_lag_ms"));
    }
    if (aParams.has("down")) {
      mFaults.mDown = aParams.param("down") == "1";
    }
  }

  void ApplyMachine(const Params& aParams)
  {
    ListedMachine machine;
    machine.mName = aParams.param("name");
    const std::string state = aParams.param("state");
    if (state == "gone") {
      mState.RemoveMachine(machine.mName);
      return;
    }
    machine.mKind = aParams.param("kind") == "server"
                      ? MachineKind::BackendServer
                      : MachineKind::EntryHost;
    machine.mLeaving = state == "leaving";
    machine.mGeneration =
      aParams.has("generation") ? std::stoull(aParams.param("generation")) : 1;
    mState.NoteMachine(machine);
  }

  PlatformState mState;
  PlatformFaults mFaults;
  PlatformCounters mCounters;
  std::vector<std::unique_ptr<PlatformService>> mServices;
  // cxxtools runs one HTTP server on each event loop.
  cxxtools::EventLoop mLoop;
  cxxtools::EventLoop mControlLoop;
  cxxtools::http::Server mStore;
  cxxtools::http::Server mControl;
  std::thread mControlThread;
};

PlatformServer::PlatformServer(const Address& aListen, const Address& aControl)
  : mImpl(std::make_unique<Impl>(aListen, aControl))
{
}

PlatformServer::~PlatformServer() = default;

void
PlatformServer::Run()
{
  mImpl->Run();
}

}
