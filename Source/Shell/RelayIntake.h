#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "Gateway/Effect.h"
#include "Gateway/RelayMessage.h"
#include "Shell/GatewaySink.h"

namespace camphorstep {

/// Takes over the sessions that other hosts pass on to this one, and returns
/// the answers. To the core they are sessions like those of callers.
class RelayIntake
{
public:
  /// Sends a payload on a connection of another host, if it is open.
  using Sender =
    std::function<void(gateway::PeerLinkId, const std::string& aPayload)>;

  RelayIntake(GatewaySink& aSink, Sender aSender);

  /// Whether a session is one that another host has passed on.
  static bool Owns(gateway::SessionId aSession);

  void AddLink(gateway::PeerLinkId aLink);
  bool HasLink(gateway::PeerLinkId aLink) const;

  /// Ends the sessions of a connection that has ended.
  void RemoveLink(gateway::PeerLinkId aLink);

  /// Handles a message of an entry host. Throws DecodeError if it is malformed.
  void HandleRequest(gateway::PeerLinkId aLink, const std::string& aPayload);

  void Carry(const gateway::AcceptSession& aEffect);
  void Carry(const gateway::AnswerCaller& aEffect);
  void Carry(const gateway::RefuseSession& aEffect);
  void Carry(const gateway::CloseSession& aEffect);

private:
  struct Intake
  {
    gateway::PeerLinkId mLink;
    gateway::RelayId mRelay;
    /// The number of statements received.
    std::uint64_t mStatements = 0;
  };

  void Handle(gateway::PeerLinkId aLink,
              gateway::RelayId aRelay,
              const gateway::RelayOpening& aOpening);
  void Handle(gateway::PeerLinkId aLink,
              gateway::RelayId aRelay,
              const gateway::Statement& aStatement);
  void Handle(gateway::PeerLinkId aLink,
              gateway::RelayId aRelay,
              const gateway::RelayEnd& aEnd);
  Intake* Find(gateway::SessionId aSession);
  void Send(const Intake& aIntake, const gateway::RelayResponse& aResponse);
  void Remove(gateway::SessionId aSession);

  GatewaySink& mSink;
  Sender mSender;
  std::uint64_t mLastSession;
  std::unordered_map<gateway::SessionId, Intake> mSessions;
  std::unordered_map<gateway::PeerLinkId,
                     std::unordered_map<gateway::RelayId, gateway::SessionId>>
    mLinks;
};

}
