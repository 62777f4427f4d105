#include "Standin/DatabaseServer.h"

#include <exception>

#include "Common/Log.h"
#include "Common/ScopeGuard.h"
#include "Wire/Codec.h"

namespace camphorstep {

namespace {

constexpr int kListenBacklog = 256;
/// The text of a Hello that opens a replication connection.
constexpr std::string_view kReplicationHello = "replication";

}

DatabaseServer::DatabaseServer(const StandinSettings& aSettings,
                               DatabaseState& aState,
                               Faults& aFaults)
  : mSettings(aSettings)
  , mState(aState)
  , mFaults(aFaults)
  , mSlots(aSettings.mSlots, aSettings.mMaxWaiting)
  , mListener(aSettings.mListen.mIp, aSettings.mListen.mPort, kListenBacklog)
{
}

void
DatabaseServer::Run()
{
  for (;;) {
    try {
      Session session;
      session.mChannel = std::make_shared<BlockingChannel>(mListener);
      if (mFaults.mDown) {
        continue;
      }
      {
        const std::lock_guard lock(mMutex);
        session.mNumber = ++mLastConnection;
        mChannels[session.mNumber] = session.mChannel;
      }
      std::thread([this, session = std::move(session)]() mutable {
        Serve(std::move(session));
      }).detach();
    } catch (const std::exception& ex) {
      WriteLog(LogLevel::Warning,
               "could not accept a connection",
               { { "error", ex.what() } });
    }
  }
}

void
DatabaseServer::CloseConnections()
{
  const std::lock_guard lock(mMutex);
  for (const auto& [number, channel] : mChannels) {
    if (const auto open = channel.lock()) {
      open->Shutdown();
    }
  }
}

void
DatabaseServer::SilenceConnections()
{
  const std::lock_guard lock(mMutex);
  mFaults.mSilentUpTo = mLastConnection;
}

void
DatabaseServer::Serve(Session aSession)
{
  const ScopeGuard forget([this, number = aSession.mNumber] {
    const std::lock_guard lock(mMutex);
    mChannels.erase(number);
  });
  try {
    ServeFrames(aSession);
  } catch (const std::exception&) {
    // A broken connection or a malformed frame ends the session.
  }
  if (aSession.mGreeted && !aSession.mReplicates) {
    --mOpenConnections;
  }
}

void
DatabaseServer::ServeFrames(Session& aSession)
{
  while (const std::optional<std::string> payload =
           aSession.mChannel->Receive()) {
    mFaults.WaitWhilePaused();
    if (mFaults.IsSilent(aSession.mNumber)) {
      continue;
    }
    if (!ServeOne(aSession, *payload)) {
      return;
    }
  }
}

bool
DatabaseServer::ServeOne(Session& aSession, const std::string& aPayload)
{
  std::string answer;
  bool goOn = true;
  if (aSession.mReplicates) {
    answer = Encode(mState.Replicate(Decode<ReplicationRequest>(aPayload)));
  } else {
    const ServerReply reply = Handle(aSession, Decode<ServerRequest>(aPayload));
    goOn = reply.mStatus != ServerStatus::TooManyConnections;
    answer = Encode(reply);
  }
  mFaults.WaitWhilePaused();
  if (!mFaults.IsSilent(aSession.mNumber)) {
    aSession.mChannel->Send(answer);
  }
  return goOn;
}

ServerReply
DatabaseServer::Respond(const ServerRequest& aRequest, ServerStatus aStatus)
{
  ServerReply reply;
  reply.mId = aRequest.mId;
  reply.mStatus = aStatus;
  mState.Describe(reply, false);
  return reply;
}

ServerReply
DatabaseServer::Handle(Session& aSession, const ServerRequest& aRequest)
{
  if (!aSession.mGreeted && aRequest.mOperation != ServerOperation::Hello) {
    return Respond(aRequest, ServerStatus::Malformed);
  }
  switch (aRequest.mOperation) {
    case ServerOperation::Hello:
      return HandleHello(aSession, aRequest);
    case ServerOperation::Status:
      return HandleStatus(aRequest);
    case ServerOperation::Lookup:
      return mState.Lookup(aRequest);
    case ServerOperation::Fence:
      return mState.Fence(aRequest);
    case ServerOperation::Promote:
      return mState.Promote(aRequest);
    case ServerOperation::Follow:
      return mState.Follow(aRequest);
    case ServerOperation::Run:
    case ServerOperation::Begin:
    case ServerOperation::Commit:
    case ServerOperation::Rollback:
      return HandleStatement(aSession, aRequest);
  }
  return Respond(aRequest, ServerStatus::Malformed);
}

ServerReply
DatabaseServer::HandleHello(Session& aSession, const ServerRequest& aRequest)
{
  if (aSession.mGreeted) {
    return Respond(aRequest, ServerStatus::Malformed);
  }
  aSession.mGreeted = true;
  aSession.mReplicates = aRequest.mText == kReplicationHello;
  if (!aSession.mReplicates) {
    SleepFor(mSettings.mOpenTime);
    if (++mOpenConnections > mSettings.mMaxConnections) {
      return Respond(aRequest, ServerStatus::TooManyConnections);
    }
  }
  ServerReply reply = Respond(aRequest, ServerStatus::Ok);
  mState.Describe(reply, true);
  return reply;
}

ServerReply
DatabaseServer::HandleStatus(const ServerRequest& aRequest)
{
  if (aRequest.mMinPosition != Position{}) {
    mState.WaitLogged(aRequest.mMinPosition, aRequest.mWait);
  }
  ServerReply reply;
  reply.mId = aRequest.mId;
  mState.Describe(reply, true);
  return reply;
}

ServerReply
DatabaseServer::HandleStatement(Session& aSession,
                                const ServerRequest& aRequest)
{
  ++mStatementsReceived;
  if (aRequest.mOperation == ServerOperation::Rollback) {
    const bool open = aSession.mTransaction.has_value();
    aSession.mTransaction.reset();
    return Respond(aRequest,
                   open ? ServerStatus::Ok : ServerStatus::NoTransaction);
  }
  const bool needsPrimary =
    aRequest.mWrite || aRequest.mOperation != ServerOperation::Run;
  const ServerStatus primary = mState.CheckPrimary(aRequest.mTerm);
  if ((needsPrimary || aRequest.mTerm != 0) && primary != ServerStatus::Ok) {
    return Respond(aRequest, primary);
  }
  if (!mState.WaitApplied(aRequest.mMinPosition, aRequest.mWait)) {
    return Respond(aRequest, ServerStatus::Behind);
  }
  if (!mSlots.Acquire()) {
    return Respond(aRequest, ServerStatus::Busy);
  }
  const ScopeGuard release([this] { mSlots.Release(); });
  return RunInSlot(aSession, aRequest);
}

ServerReply
DatabaseServer::RunInSlot(Session& aSession, const ServerRequest& aRequest)
{
  SleepFor(Duration(mFaults.mStatementMicros));
  mFaults.WaitWhilePaused();
  ++mStatementsRun;
  if (aRequest.mOperation == ServerOperation::Begin) {
    if (aSession.mTransaction) {
      return Respond(aRequest, ServerStatus::Malformed);
    }
    aSession.mTransaction.emplace();
    return Respond(aRequest, ServerStatus::Ok);
  }
  if (aRequest.mOperation == ServerOperation::Commit) {
    return mState.Commit(aRequest, aSession.mTransaction);
  }
  return mState.Run(aRequest, aSession.mTransaction);
}

}
