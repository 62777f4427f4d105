#include "CoreDriver.h"

#include "Reducer/Step.h"
#include "Wire/Frame.h"
#include "Wire/PeerFrame.h"

namespace camphorstep::benchmarks {

namespace {

constexpr std::size_t kDataCentres = 40;
constexpr std::size_t kDataCentresPerRegion = 4;
constexpr Duration kTickInterval = std::chrono::milliseconds(5);
/// Headers of Ethernet, IP and TCP with time stamps.
constexpr std::uint64_t kPacketOverhead = 66;

std::string
Numbered(const char* aName, std::size_t aNumber)
{
  return aName + std::to_string(aNumber);
}

Place
PlaceOf(std::size_t aIndex)
{
  const std::size_t centre = aIndex % kDataCentres;
  return Place{ IdOf<DataCentreId>(Numbered("dc-", centre)),
                IdOf<RegionId>(
                  Numbered("region-", centre / kDataCentresPerRegion)) };
}

ServerId
ServerIdOf(std::size_t aDatabase, std::size_t aNumber)
{
  return IdOf<ServerId>(Numbered("db-", aDatabase) +
                        Numbered("-", aNumber + 1));
}

void
AddDatabase(Topology& aTopology, std::size_t aNumber)
{
  constexpr std::size_t kServers = 3;
  Database database{ IdOf<DatabaseId>(Numbered("db-", aNumber)),
                     Numbered("db-", aNumber),
                     {} };
  for (std::size_t n = 0; n < kServers; ++n) {
    Server server;
    server.mId = ServerIdOf(aNumber, n);
    server.mName = Numbered("db-", aNumber) + Numbered("-", n + 1);
    server.mDatabase = database.mId;
    server.mPlace = PlaceOf(aNumber + n);
    server.mAddress = Address{ "10.0.0.1", 7500 };
    database.mServers.push_back(server.mId);
    aTopology.mServers[server.mId] = server;
  }
  aTopology.mDatabases[database.mId] = database;
}

HostId
HostIdOf(std::size_t aNumber)
{
  return IdOf<HostId>(Numbered("host-", aNumber));
}

}

CoreDriver::CoreDriver(const Sizes& aSizes)
  : mSizes(aSizes)
{
  mState.mSelf = HostIdOf(0);
  mState.mPlace = PlaceOf(0);
  mState.mIncarnation = 7;
  mState.mSessionKey = DeriveMacKey("a secret for benchmarks", "session");
  for (std::size_t n = 0; n < aSizes.mHosts; ++n) {
    const HostId id = HostIdOf(n);
    mState.mTopology.mHosts[id] =
      Host{ id, Numbered("host-", n), PlaceOf(n), { "10.0.0.1", 7300 } };
  }
  for (std::size_t n = 0; n < aSizes.mDatabases; ++n) {
    AddDatabase(mState.mTopology, n);
  }
  Configure(1);
  for (std::size_t n = 1; n < aSizes.mHosts; ++n) {
    Apply(PeerConnected{ HostIdOf(n) });
  }
}

void
CoreDriver::Configure(std::uint64_t aVersion)
{
  Configuration configuration;
  configuration.mVersion = aVersion;
  for (std::size_t n = 0; n < mSizes.mProfiles; ++n) {
    Profile profile;
    profile.mName = Numbered("profile-", n);
    profile.mDurability = Durability::Primary;
    configuration.mProfiles.emplace(profile.mName, profile);
    configuration.mServices.emplace(Numbered("service-", n), profile.mName);
  }
  for (RankRules& rules : configuration.mRanks) {
    rules.mMaxInProgress = 10'000;
    rules.mMaxQueued = 10'000;
  }
  Apply(ConfigurationLoaded{ configuration });
}

void
CoreDriver::Apply(EventBody aEvent)
{
  mAgenda.push_back(std::move(aEvent));
  while (!mAgenda.empty()) {
    const EventBody event = std::move(mAgenda.front());
    mAgenda.pop_front();
    ++mEvents;
    for (const Effect& effect : Step(mState, Event{ mNow, event })) {
      Handle(effect);
    }
  }
}

void
CoreDriver::Tick()
{
  mNow += kTickInterval;
  Apply(camphorstep::Tick{});
}

void
CoreDriver::Request(std::size_t aDatabase, bool aWrite)
{
  CallerRequest request;
  request.mCall = CallId{ ++mCalls };
  request.mService = "service-0";
  request.mDatabase = Numbered("db-", aDatabase);
  request.mText = aWrite ? "put a 1" : "get a";
  request.mWrite = aWrite;
  Apply(std::move(request));
}

void
CoreDriver::Heartbeats()
{
  for (std::size_t n = 1; n < mSizes.mHosts; ++n) {
    Apply(PeerMessageReceived{ HostIdOf(n), Heartbeat{} });
  }
}

void
CoreDriver::Handle(const Effect& aEffect)
{
  if (const auto* const message = std::get_if<SendToPeer>(&aEffect)) {
    SendPeerReport(*message);
  } else if (const auto* const open = std::get_if<OpenConnection>(&aEffect)) {
    mConnections[open->mConnection] = open->mServer;
    mAgenda.emplace_back(ServerConnected{ open->mConnection });
  } else if (const auto* const sent = std::get_if<SendToServer>(&aEffect)) {
    AnswerServer(*sent);
  } else if (std::holds_alternative<AnswerCaller>(aEffect)) {
    ++mAnswers;
  }
}

void
CoreDriver::SendPeerReport(const SendToPeer& aEffect)
{
  if (mCountsWire) {
    const PeerEnvelope envelope{
      mState.mSelf, aEffect.mHost, 1, 1, aEffect.mMessage
    };
    mWireBytes += MakeFrame(SealPeerFrame(MacKey{}, envelope)).size();
    mWireBytes += kPacketOverhead;
  }
  if (const auto* const view = std::get_if<ViewRequest>(&aEffect.mMessage)) {
    mAgenda.emplace_back(PeerMessageReceived{
      aEffect.mHost, ViewReply{ view->mId, MakeView(view->mServer) } });
  } else if (const auto* const forward =
               std::get_if<ForwardRequest>(&aEffect.mMessage)) {
    ForwardAnswer answer;
    answer.mId = forward->mId;
    answer.mAttempt = forward->mAttempt;
    answer.mResult = "1";
    answer.mView = MakeView(forward->mServer);
    answer.mPosition = answer.mView.mApplied;
    mAgenda.emplace_back(PeerMessageReceived{ aEffect.mHost, answer });
  }
}

void
CoreDriver::AnswerServer(const SendToServer& aEffect)
{
  if (!mAnswersServers) {
    return;
  }
  const ServerView view = MakeView(mConnections.at(aEffect.mConnection));
  ServerReply reply;
  reply.mId = aEffect.mRequest.mId;
  reply.mTerm = view.mTerm;
  reply.mRole = view.mRole;
  reply.mApplied = view.mApplied;
  reply.mLogged = view.mApplied;
  reply.mTermStarts = view.mTermStarts;
  reply.mVoters =
    mState.mTopology
      .FindDatabase(mState.mTopology.FindServer(view.mServer)->mDatabase)
      ->mServers;
  reply.mResult = "1";
  mAgenda.emplace_back(ServerReplied{ aEffect.mConnection, reply });
}

bool
CoreDriver::IsPrimary(ServerId aServer) const
{
  const DatabaseId database = mState.mTopology.FindServer(aServer)->mDatabase;
  return mState.mTopology.FindDatabase(database)->mServers.front() == aServer;
}

ServerView
CoreDriver::MakeView(ServerId aServer) const
{
  ServerView view;
  view.mServer = aServer;
  view.mTerm = 1;
  view.mRole = IsPrimary(aServer) ? ServerRole::Primary : ServerRole::Replica;
  view.mApplied = Position{ 1, mIndex };
  view.mTermStarts = { Position{ 1, 1 } };
  return view;
}

}
