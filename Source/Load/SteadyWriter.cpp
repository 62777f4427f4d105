#include "Load/SteadyWriter.h"

#include <utility>

#include "Load/HttpCaller.h"

namespace camphorstep {

namespace {

constexpr std::int64_t kDeadlineMs = 5'000;
constexpr auto kPause = std::chrono::milliseconds(5);

}

SteadyWriter::SteadyWriter(const LoadSettings& aSettings,
                           const Address& aProxy,
                           std::string aName,
                           bool aWithKeys)
  : mSettings(aSettings)
  , mProxy(aProxy)
  , mName(std::move(aName))
  , mWithKeys(aWithKeys)
  , mThread([this] { Run(); })
{
}

SteadyWriter::~SteadyWriter()
{
  mStopping = true;
  mThread.join();
}

std::vector<WriteRecord>
SteadyWriter::Records() const
{
  const std::lock_guard lock(mMutex);
  return mRecords;
}

LoadClock::time_point
SteadyWriter::LastAcknowledged() const
{
  const std::lock_guard lock(mMutex);
  return mLastAcknowledged;
}

void
SteadyWriter::Run()
{
  HttpCaller caller(mProxy, mSettings.mTokens.front());
  for (std::uint64_t n = 1; !mStopping; ++n) {
    Call call;
    call.mDatabase = mSettings.mDatabase;
    call.mText = "put " + mName + " " + std::to_string(n);
    call.mWrite = true;
    call.mDeadlineMs = kDeadlineMs;
    if (mWithKeys) {
      call.mKey = mName + "-" + std::to_string(n);
    }
    WriteRecord record;
    record.mText = call.mText;
    record.mSentAt = LoadClock::now();
    const CallResult result = caller.Execute(call);
    record.mAnsweredAt = LoadClock::now();
    record.mOutcome = result.mOutcome;
    record.mCode = result.mCode;
    {
      const std::lock_guard lock(mMutex);
      if (record.mOutcome == "done") {
        mLastAcknowledged = record.mAnsweredAt;
      }
      mRecords.push_back(std::move(record));
    }
    std::this_thread::sleep_for(kPause);
  }
}

}
