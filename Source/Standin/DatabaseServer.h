#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

#include <cxxtools/net/tcpserver.h>

#include "Messages/ServerMessage.h"
#include "Standin/DatabaseState.h"
#include "Standin/Faults.h"
#include "Standin/Slots.h"
#include "Standin/StandinSettings.h"
#include "Wire/BlockingChannel.h"

namespace camphorstep {

/// Serves the server protocol: one thread for each connection.
class DatabaseServer
{
public:
  DatabaseServer(const StandinSettings& aSettings,
                 DatabaseState& aState,
                 Faults& aFaults);

  /// Accepts connections for ever.
  void Run();

  /// Ends all connections that are open now.
  void CloseConnections();

  /// Makes all connections that are open now silent for good.
  void SilenceConnections();

  /// Statements that have come in, run or not.
  std::uint64_t StatementsReceived() const { return mStatementsReceived; }

  /// Statements run, not counting probes.
  std::uint64_t StatementsRun() const { return mStatementsRun; }

private:
  /// One connection's side of the protocol.
  struct Session
  {
    std::uint64_t mNumber = 0;
    std::shared_ptr<BlockingChannel> mChannel;
    bool mGreeted = false;
    bool mReplicates = false;
    std::optional<OpenTransaction> mTransaction;
  };

  void Serve(Session aSession);
  void ServeFrames(Session& aSession);
  bool ServeOne(Session& aSession, const std::string& aPayload);
  ServerReply Handle(Session& aSession, const ServerRequest& aRequest);
  ServerReply HandleHello(Session& aSession, const ServerRequest& aRequest);
  ServerReply HandleStatus(const ServerRequest& aRequest);
  ServerReply HandleStatement(Session& aSession, const ServerRequest& aRequest);
  ServerReply RunInSlot(Session& aSession, const ServerRequest& aRequest);
  ServerReply Respond(const ServerRequest& aRequest, ServerStatus aStatus);

  const StandinSettings& mSettings;
  DatabaseState& mState;
  Faults& mFaults;
  Slots mSlots;
  cxxtools::net::TcpServer mListener;
  std::mutex mMutex;
  std::map<std::uint64_t, std::weak_ptr<BlockingChannel>> mChannels;
  std::uint64_t mLastConnection = 0;
  std::atomic<int> mOpenConnections{ 0 };
  std::atomic<std::uint64_t> mStatementsReceived{ 0 };
  std::atomic<std::uint64_t> mStatementsRun{ 0 };
};

}
