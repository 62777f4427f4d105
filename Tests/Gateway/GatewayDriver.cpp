#include "GatewayDriver.h"

#include <algorithm>
#include <utility>

#include "Gateway/Context.h"
#include "Gateway/Step.h"

namespace camphorstep::gateway {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStepTime = 10ms;

Route
MakeRoute(const std::string& aName, Freshness aFreshness, Duration aMaxAge)
{
  Route route;
  route.mDatabase = aName;
  route.mGroup = "group";
  route.mFreshness = aFreshness;
  route.mMaxAge = aMaxAge;
  route.mStatementTimeout = 1s;
  route.mTarget = 500ms;
  return route;
}

}

GatewayDriver::GatewayDriver()
{
  mState.mSelf.mEntry = { "h1", { "10.0.0.1", 1 }, "a", 7 };
  mState.mSelf.mRegions = { { "a", "r" }, { "b", "r" }, { "c", "q" } };
  for (const char* const name : { "s1", "s2", "s3" }) {
    mServers.emplace_back().mName = name;
  }
  mServers[0].mPrimary = true;
  Start(mState, mNow);
  Deliver(TimePassed{});
  Publish(1);
  ListServers();
  Run(1s);
  mEffects.clear();
}

void
GatewayDriver::Deliver(EventBody aEvent)
{
  for (Effect& effect : Step(mState, Event{ mNow, std::move(aEvent) })) {
    mEffects.push_back(std::move(effect));
  }
}

void
GatewayDriver::AdvanceTime(Duration aTime)
{
  for (Duration passed{ 0 }; passed < aTime; passed += kStepTime) {
    mNow += kStepTime;
    Deliver(TimePassed{});
  }
}

void
GatewayDriver::Publish(std::uint64_t aVersion)
{
  TableProgress& table = mState.mCatalogue.mTables[0];
  TableAnswer answer;
  answer.mCall = table.mCall;
  answer.mTable = Table::Operator;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = ++mStoreVersion;
  RoutingVersion routing;
  routing.mVersion = aVersion;
  routing.mRoutes = { MakeRoute("main", Freshness::Primary, 0s),
                      MakeRoute("near", Freshness::MaxAge, 1500ms),
                      MakeRoute("own", Freshness::ReadYourWrites, 1500ms) };
  routing.mGroups = { { "group", 20 } };
  routing.mTransactionIdleTimeout = 2s;
  routing.mAccountRules = mAccountRules;
  answer.mRouting = routing;
  Deliver(answer);
}

void
GatewayDriver::PublishAccounts(std::uint64_t aVersion, AccountRules aRules)
{
  mAccountRules = std::move(aRules);
  Publish(aVersion);
}

void
GatewayDriver::ConfirmConfiguration()
{
  TableAnswer answer;
  answer.mCall = mState.mCatalogue.mTables[0].mCall;
  answer.mTable = Table::Operator;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = mStoreVersion;
  Deliver(answer);
}

void
GatewayDriver::ListServers()
{
  TableAnswer answer;
  answer.mCall = mState.mCatalogue.mTables[1].mCall;
  answer.mTable = Table::Servers;
  answer.mOutcome = CallOutcome::Ok;
  answer.mVersion = ++mStoreVersion;
  for (std::size_t n = 0; n < mServers.size(); ++n) {
    ServerEntry entry;
    entry.mName = mServers[n].mName;
    entry.mGroup = "group";
    entry.mAddress = { "10.0.1." + std::to_string(n + 1), 5000 };
    entry.mDataCentre = std::string(1, static_cast<char>('a' + n));
    entry.mStartedAt = 1;
    answer.mServers.push_back({ entry.mName, entry });
  }
  Deliver(answer);
}

void
GatewayDriver::AnswerTables()
{
  const auto answerWith = [this](CallId aCall, Table aTable, bool aReadsAll) {
    TableAnswer answer;
    answer.mCall = aCall;
    answer.mTable = aTable;
    answer.mOutcome = CallOutcome::Ok;
    if (aTable == Table::Servers) {
      answer.mServers = std::exchange(mServerChanges, {});
      mStoreVersion += answer.mServers.size();
    }
    answer.mVersion = mStoreVersion;
    answer.mStoreTime = mNow.time_since_epoch();
    if (aTable == Table::Fleet && aReadsAll) {
      answer.mIsSnapshot = true;
      answer.mRecords = mStoredRecords;
      for (const auto& [name, host] : mState.mCatalogue.mHosts) {
        answer.mHosts.push_back({ name, host });
      }
    }
    Deliver(answer);
  };
  while (const auto call = Take<ReadTable>()) {
    answerWith(call->mCall, call->mTable, true);
  }
  if (const auto call = TakeWatch(Table::Fleet)) {
    answerWith(call->mCall, call->mTable, false);
  }
  // The other tables' calls wait for changes.
  const CallId servers = mState.mCatalogue.mTables.at(1).mCall;
  if (mReadsServers && servers) {
    TakeWatch(Table::Servers);
    answerWith(servers, Table::Servers, false);
  }
  while (const auto call = Take<WriteLease>()) {
    StoreRecords(call->mRecords);
    Deliver(StoreWritten{ call->mCall, CallOutcome::Ok, ++mStoreVersion });
  }
  while (const auto call = Take<WriteHostEntry>()) {
    Deliver(StoreWritten{ call->mCall, CallOutcome::Ok, ++mStoreVersion });
  }
}

std::optional<WatchTable>
GatewayDriver::TakeWatch(Table aTable)
{
  for (auto it = mEffects.begin(); it != mEffects.end(); ++it) {
    const WatchTable* const watch = std::get_if<WatchTable>(&*it);
    if (watch != nullptr && watch->mTable == aTable) {
      const WatchTable found = *watch;
      mEffects.erase(it);
      return found;
    }
  }
  return std::nullopt;
}

void
GatewayDriver::StoreRecords(const std::vector<GroupRecord>& aRecords)
{
  for (const GroupRecord& written : aRecords) {
    std::erase_if(mStoredRecords, [&](const GroupRecord& aStored) {
      return aStored.mGroup == written.mGroup;
    });
    mStoredRecords.push_back(written);
  }
}

void
GatewayDriver::OpenLinks()
{
  while (const auto open = Take<OpenLink>()) {
    mLinkAccounts[open->mLink] = open->mAccount;
    const FakeServer& server = Server(open->mServer);
    const bool isControl = Find(mState.mLinks, open->mLink)->mControl;
    if (server.mIsFull && !isControl) {
      Deliver(LinkClosed{ open->mLink, ResultCode::TooManyConnections, true });
    } else if (!server.mDown) {
      Deliver(LinkReady{ open->mLink, std::nullopt });
    }
  }
}

std::size_t
GatewayDriver::AnswerControl()
{
  std::vector<SendOnLink> requests;
  for (auto it = mEffects.begin(); it != mEffects.end();) {
    const SendOnLink* const send = std::get_if<SendOnLink>(&*it);
    const Link* const link =
      send == nullptr ? nullptr : Find(mState.mLinks, send->mLink);
    if (link != nullptr && link->mControl) {
      requests.push_back(*send);
      it = mEffects.erase(it);
    } else {
      ++it;
    }
  }
  for (const SendOnLink& request : requests) {
    FakeServer& server = Server(ServerOf(request.mLink));
    if (!server.mDown) {
      Deliver(
        LinkReplied{ request.mLink, StatusReply(server, request.mRequest) });
    }
  }
  return requests.size();
}

void
GatewayDriver::Settle()
{
  do {
    OpenLinks();
    AnswerTables();
  } while (AnswerControl() > 0);
}

void
GatewayDriver::Run(Duration aTime)
{
  for (Duration passed{ 0 }; passed < aTime; passed += kStepTime) {
    Settle();
    AdvanceTime(kStepTime);
  }
  Settle();
}

void
GatewayDriver::OpenSession(std::uint64_t aSession,
                           const std::string& aDatabase,
                           const std::string& aKey)
{
  Deliver(SessionOpened{ SessionId{ aSession }, aDatabase, DigestKey(aKey) });
  while (Take<AcceptSession>()) {
  }
}

void
GatewayDriver::Send(std::uint64_t aSession,
                    StatementKind aKind,
                    const std::string& aName,
                    const std::string& aArgument)
{
  Statement statement;
  statement.mId = "id" + std::to_string(aSession);
  statement.mKind = aKind;
  statement.mText = "text";
  statement.mName = aName;
  statement.mArgument = aArgument;
  Deliver(StatementReceived{ SessionId{ aSession }, statement });
  Settle();
}

std::optional<SendOnLink>
GatewayDriver::NextStatement()
{
  Settle();
  while (auto send = Take<SendOnLink>()) {
    const BackendVerb verb = send->mRequest.mVerb;
    if (verb != BackendVerb::SetValue && verb != BackendVerb::Reset &&
        verb != BackendVerb::Prepare && verb != BackendVerb::Rollback) {
      return send;
    }
    Deliver(LinkReplied{ send->mLink, BackendReply{} });
    Settle();
  }
  return std::nullopt;
}

void
GatewayDriver::Reply(const SendOnLink& aRequest,
                     ResultCode aCode,
                     TransactionState aState)
{
  const FakeServer& server = Server(ServerOf(aRequest.mLink));
  BackendReply reply;
  reply.mCode = aCode;
  reply.mState = aState;
  reply.mSignature = aCode == ResultCode::Ok ? "signature" : "";
  reply.mPosition = Position{ server.mTerm, server.mIndex };
  Deliver(LinkReplied{ aRequest.mLink, reply });
  Settle();
}

std::string
GatewayDriver::ServerOf(LinkId aLink) const
{
  const auto link = mState.mLinks.find(aLink);
  return link == mState.mLinks.end()
           ? ""
           : mState.mBackends.at(link->second.mServer).mEntry.mName;
}

std::string
GatewayDriver::AccountOf(LinkId aLink) const
{
  const auto it = mLinkAccounts.find(aLink);
  return it == mLinkAccounts.end() ? "" : it->second;
}

void
GatewayDriver::BreakLink(LinkId aLink)
{
  Deliver(LinkClosed{ aLink, ResultCode::Ok, true });
  Settle();
}

GatewayDriver::FakeServer&
GatewayDriver::Server(const std::string& aName)
{
  return *std::find_if(
    mServers.begin(), mServers.end(), [&aName](const FakeServer& aServer) {
      return aServer.mName == aName;
    });
}

BackendReply
GatewayDriver::StatusReply(FakeServer& aServer, const BackendRequest& aRequest)
{
  switch (aRequest.mVerb) {
    case BackendVerb::Pause:
      aServer.mPauseTerm = aRequest.mTerm;
      break;
    case BackendVerb::Resume:
      aServer.mPauseTerm = 0;
      break;
    case BackendVerb::StepDown:
      aServer.mPrimary = false;
      break;
    default:
      break;
  }
  BackendReply reply;
  BackendStatus status;
  status.mPrimary = aServer.mPrimary;
  status.mTerm = aServer.mTerm;
  status.mReceived = { aServer.mTerm, aServer.mIndex };
  status.mPauseTerm = aServer.mPauseTerm;
  status.mLag = aServer.mLag;
  status.mConnections = aServer.mConnections;
  reply.mStatus = status;
  reply.mPosition =
    Position{ aServer.mTerm, aServer.mAppliedIndex.value_or(aServer.mIndex) };
  return reply;
}

}
