#include "Callers.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <memory>
#include <random>
#include <string>

#include <cxxtools/net/tcpstream.h>

namespace camphorstep::soak {

namespace {

using namespace std::chrono_literals;

constexpr double kAnswerTimeoutMs = 6'000.0;
/// The age that reads of "near" may show, and some time for their way.
constexpr std::chrono::milliseconds kNearAge = 1'500ms;
constexpr std::array kPromises{ "BUSY",     "ABORTED",   "LAGGING",
                                "READONLY", "MISROUTED", "TOOMANY" };

/// How an exchange with a gateway ended.
struct Reply
{
  /// Whether the gateway ended the answer.
  bool mIsWhole = false;
  bool mIsDone = false;
  std::string mRow;
  std::string mSignature;
  std::string mCode;
};

Fate
FateOf(const Reply& aReply)
{
  if (aReply.mIsDone) {
    return Fate::Acknowledged;
  }
  const bool promises =
    aReply.mIsWhole &&
    std::find(kPromises.begin(), kPromises.end(), aReply.mCode) !=
      kPromises.end();
  return promises ? Fate::NotKept : Fate::Unknown;
}

/// A caller's session.
class Session
{
public:
  Session(std::uint16_t aPort,
          const std::string& aDatabase,
          const std::string& aKey)
    : mStream("127.0.0.1", aPort)
  {
    mStream.socket().setTimeout(cxxtools::Milliseconds(kAnswerTimeoutMs));
    mIsOpen = Exchange("STARTUP " + aDatabase + " " + aKey).mIsWhole;
  }

  Reply Query(const std::string& aId, const std::string& aText)
  {
    Reply reply = Exchange("QUERY " + aId + " " + aText);
    mIsOpen = reply.mIsWhole;
    return reply;
  }

  bool IsOpen() const { return mIsOpen; }

private:
  Reply Exchange(const std::string& aLine)
  {
    Reply reply;
    mStream << aLine << "\r\n" << std::flush;
    for (std::string line; std::getline(mStream, line);) {
      if (!line.empty() && line.back() == '\r') {
        line.pop_back();
      }
      const std::size_t blank = line.find(' ');
      const std::string word = line.substr(0, blank);
      const std::string rest =
        blank == std::string::npos ? "" : line.substr(blank + 1);
      if (word == "READY") {
        reply.mIsWhole = true;
        return reply;
      }
      if (word == "ROW") {
        reply.mRow = rest;
      } else if (word == "COMPLETE") {
        reply.mIsDone = true;
        reply.mSignature = rest;
      } else if (word == "ERROR") {
        reply.mCode = rest.substr(0, rest.find(' '));
      }
    }
    reply.mIsDone = false;
    return reply;
  }

  cxxtools::net::TcpStream mStream;
  bool mIsOpen = false;
};

/// One caller: draws what it does next.
class Caller
{
public:
  Caller(const Gateways& aGateways,
         Ledger& aLedger,
         const Keys& aKeys,
         CallerCounts& aCounts,
         std::size_t aNumber,
         std::uint64_t aSeed)
    : mGateways(aGateways)
    , mLedger(aLedger)
    , mKeys(aKeys)
    , mCounts(aCounts)
    , mNumber(aNumber)
    , mName("c" + std::to_string(aNumber))
    , mDatabase(aNumber % 2 == 0 ? "main" : "near")
    , mRandom(aSeed)
  {
  }

  void ActOnce()
  {
    if (!mSession || !mSession->IsOpen()) {
      Open();
      return;
    }
    switch (Draw(4)) {
      case 0:
        Write();
        break;
      case 1:
        Transact();
        break;
      default:
        Read();
        break;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(Draw(40)));
  }

private:
  std::uint64_t Draw(std::uint64_t aBelow) { return mRandom() % aBelow; }

  std::string NextId() { return mName + "-" + std::to_string(++mQueries); }

  /// An item that belongs to sessions whose value "who" is this caller's.
  std::string NextItem()
  {
    return mName + "." + std::to_string(++mItems) + "@" + mName;
  }

  void Open()
  {
    mSession.reset();
    try {
      mSession =
        std::make_unique<Session>(mGateways.CallerPort(Draw(mGateways.Count())),
                                  mDatabase,
                                  Keys::KeyOf(mNumber));
      if (mSession->IsOpen()) {
        Check(mSession->Query(NextId(), "SET who " + mName), "");
      } else {
        std::this_thread::sleep_for(20ms);
      }
    } catch (const std::exception&) {
      // The gateway is down; another one may be up.
      ++mCounts.mBroken;
      std::this_thread::sleep_for(20ms);
    }
  }

  /// Sends a statement that a server runs. Checks that it is not served once
  /// the caller's key has been taken away for long enough.
  Reply Ask(const std::string& aId, const std::string& aText)
  {
    const Clock::time_point sentAt = Clock::now();
    Reply reply = mSession->Query(aId, aText);
    if (reply.mIsDone && mKeys.IsGone(mNumber, sentAt)) {
      mLedger.Fail("a key that was taken away is not served", aId);
    }
    return reply;
  }

  /// Counts a reply, and checks that a success is the server's own.
  void Check(const Reply& aReply, const std::string& aId)
  {
    if (aReply.mIsDone) {
      ++mCounts.mServed;
    } else if (aReply.mIsWhole) {
      ++mCounts.mRefused;
    } else {
      ++mCounts.mBroken;
    }
    if (aReply.mIsDone && !aId.empty() && aReply.mSignature != "sig-" + aId) {
      mLedger.Fail("each caller gets its own answer",
                   aId + " got " + aReply.mSignature);
    }
  }

  static std::string WriteText(const std::string& aItem)
  {
    std::string text = "WRITE ";
    text.append(aItem).append(" ").append(aItem);
    return text;
  }

  void Write()
  {
    const std::string item = NextItem();
    const std::string id = NextId();
    const std::uint64_t attempt = mLedger.Begin({ item });
    const Reply reply = Ask(id, WriteText(item));
    mLedger.Settle(attempt, FateOf(reply));
    Check(reply, id);
  }

  void Transact()
  {
    if (!mSession->Query(NextId(), "BEGIN").mIsDone) {
      mSession.reset();
      return;
    }
    std::vector<std::string> items{ NextItem(), NextItem() };
    const std::uint64_t attempt = mLedger.Begin(items);
    for (const std::string& item : items) {
      const Reply reply = Ask(NextId(), WriteText(item));
      if (!reply.mIsDone) {
        Check(reply, "");
        // Without its commit nothing of a transaction is kept, whatever the
        // answer was.
        mLedger.Settle(attempt, Fate::NotKept);
        mSession.reset();
        return;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(Draw(30)));
    }
    if (Draw(6) == 0) {
      mLedger.Settle(attempt, Fate::NotKept);
      Check(mSession->Query(NextId(), "ROLLBACK"), "");
      return;
    }
    const std::string id = NextId();
    const Reply reply = Ask(id, "COMMIT");
    mLedger.Settle(attempt, FateOf(reply));
    Check(reply, id);
    if (!reply.mIsDone) {
      mSession.reset();
    }
  }

  void Read()
  {
    const bool isNear = mDatabase == "near";
    const std::string item =
      mLedger.AcknowledgedItem(isNear ? kNearAge : 0ms, mRandom());
    if (item.empty()) {
      return;
    }
    // Other callers' items are read under their name, so that the servers see
    // whose values a connection has.
    const std::string owner = item.substr(item.find('@') + 1);
    if (!mSession->Query(NextId(), "SET who " + owner).mIsDone) {
      return;
    }
    const std::string id = NextId();
    const Reply reply = Ask(id, "READ " + item);
    Check(reply, id);
    if (reply.mIsDone && reply.mRow != item) {
      mLedger.Fail("reads are as fresh as the route says",
                   "'" + item + "' is missing from a read of " + mDatabase);
    }
    if (mSession->IsOpen()) {
      mSession->Query(NextId(), "SET who " + mName);
    }
  }

  const Gateways& mGateways;
  Ledger& mLedger;
  const Keys& mKeys;
  CallerCounts& mCounts;
  std::size_t mNumber;
  std::string mName;
  std::string mDatabase;
  std::mt19937_64 mRandom;
  std::unique_ptr<Session> mSession;
  std::uint64_t mQueries = 0;
  std::uint64_t mItems = 0;
};

}

Callers::Callers(const Gateways& aGateways,
                 Ledger& aLedger,
                 const Keys& aKeys,
                 std::uint64_t aSeed)
{
  for (std::size_t n = 0; n < aKeys.CountCallers(); ++n) {
    mThreads.emplace_back([this, &aGateways, &aLedger, &aKeys, n, aSeed] {
      Caller caller(aGateways, aLedger, aKeys, mCounts, n, aSeed * 1'000 + n);
      while (!mStopping) {
        caller.ActOnce();
      }
    });
  }
}

Callers::~Callers()
{
  mStopping = true;
  for (std::thread& thread : mThreads) {
    thread.join();
  }
}

}
