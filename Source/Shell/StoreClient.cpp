#include "Shell/StoreClient.h"

#include <exception>
#include <stdexcept>
#include <string>
#include <utility>

#include <cxxtools/http/client.h>
#include <cxxtools/http/request.h>

#include "Common/Log.h"
#include "Wire/StoreJson.h"

namespace camphorstep {

namespace {

constexpr int kWorkers = 4;
constexpr unsigned kHttpOk = 200;
const cxxtools::Milliseconds kRequestTimeout(1'500.0);
const cxxtools::Milliseconds kConnectTimeout(500.0);

/// Makes one call and gives the body of the answer; throws if there is none.
std::string
Call(cxxtools::http::Client& aClient,
     const char* aPath,
     const std::string& aBody)
{
  try {
    cxxtools::http::Request request(aPath);
    request.method("POST");
    request.body() << aBody;
    aClient.execute(request, kRequestTimeout, kConnectTimeout);
    const cxxtools::http::Reply& reply = aClient.readBody();
    if (reply.httpReturnCode() != kHttpOk) {
      throw std::runtime_error("the platform answered " +
                               std::to_string(reply.httpReturnCode()));
    }
    return reply.body();
  } catch (const std::exception&) {
    // What is left of a late answer must not be taken for the next one.
    aClient.close();
    throw;
  }
}

void
LogFailure(const char* aCall, const std::exception& aError)
{
  WriteLog(LogLevel::Warning,
           "call to the table service failed",
           { { "call", aCall }, { "error", aError.what() } });
}

}

StoreClient::StoreClient(EventSink& aSink, const Address& aAddress)
  : mSink(aSink)
  , mAddress(aAddress)
{
  for (int n = 0; n < kWorkers; ++n) {
    mWorkers.emplace_back([this] { Work(); });
  }
}

StoreClient::~StoreClient()
{
  {
    const std::lock_guard lock(mMutex);
    mEnding = true;
  }
  mChanged.notify_all();
  for (std::thread& worker : mWorkers) {
    worker.join();
  }
}

void
StoreClient::Read(const StoreRead& aEffect)
{
  Enqueue([aEffect](cxxtools::http::Client& aClient) -> EventBody {
    StoreAnswered answered{ aEffect.mCall, StoreStatus::Unknown, {} };
    try {
      const std::string body =
        Call(aClient, "/v1/table/query", ToJson(aEffect.mQuery));
      FromJson(body, answered.mRows);
      answered.mStatus = StoreStatus::Ok;
    } catch (const std::exception& ex) {
      LogFailure("query", ex);
      answered.mRows.clear();
    }
    return answered;
  });
}

void
StoreClient::Write(const StoreWrite& aEffect)
{
  Enqueue([aEffect](cxxtools::http::Client& aClient) -> EventBody {
    StoreAnswered answered{ aEffect.mCall, StoreStatus::Unknown, {} };
    try {
      StoreCommit commit;
      FromJson(
        Call(aClient, "/v1/table/transact", ToJson(aEffect.mTransaction)),
        commit);
      answered.mStatus =
        commit.mCommitted ? StoreStatus::Ok : StoreStatus::Conflict;
    } catch (const std::exception& ex) {
      LogFailure("transact", ex);
      answered.mStatus = StoreStatus::Unknown;
    }
    return answered;
  });
}

void
StoreClient::ReadList(const ReadHostList& aEffect)
{
  Enqueue([aEffect](cxxtools::http::Client& aClient) -> EventBody {
    HostListAnswered answered{ aEffect.mCall, StoreStatus::Unknown, {} };
    try {
      FromJson(Call(aClient, "/v1/hosts", ""), answered.mMachines);
      answered.mStatus = StoreStatus::Ok;
    } catch (const std::exception& ex) {
      LogFailure("hosts", ex);
      answered.mMachines.clear();
    }
    return answered;
  });
}

void
StoreClient::Enqueue(Job aJob)
{
  {
    const std::lock_guard lock(mMutex);
    mJobs.push_back(std::move(aJob));
  }
  mChanged.notify_one();
}

void
StoreClient::Work()
{
  cxxtools::http::Client client(mAddress.mIp, mAddress.mPort);
  for (Job job; TakeJob(job);) {
    mSink.Post(job(client));
  }
}

bool
StoreClient::TakeJob(Job& aJob)
{
  std::unique_lock lock(mMutex);
  mChanged.wait(lock, [this] { return mEnding || !mJobs.empty(); });
  if (mEnding) {
    return false;
  }
  aJob = std::move(mJobs.front());
  mJobs.pop_front();
  return true;
}

}
