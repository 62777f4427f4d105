#include "Decoders/Decoders.h"

#include <cstdlib>
#include <stdexcept>

#include "Entry/SessionToken.h"
#include "Gateway/PeerMessage.h"
#include "Gateway/RelayMessage.h"
#include "Messages/ServerMessage.h"
#include "Model/Profile.h"
#include "Settings/Settings.h"
#include "Shell/CallerListener.h"
#include "Wire/Codec.h"
#include "Wire/Frame.h"
#include "Wire/PeerFrame.h"
#include "platform/Json.h"
#include "platform/Rows.h"
#include "platform/WireText.h"

namespace camphorstep::fuzz {

namespace {

const MacKey kKey = DeriveMacKey("a secret for tests", "fuzz");

/// Decodes a message and checks that it survives another round.
template<typename Message>
void
RoundTrip(const std::string& aBytes)
{
  try {
    const auto message = Decode<Message>(aBytes);
    const std::string encoded = Encode(message);
    if (Encode(Decode<Message>(encoded)) != encoded) {
      std::abort();
    }
  } catch (const DecodeError&) {
    return;
  }
}

}

void
DecodeCallerRequest(const std::string& aBytes)
{
  for (const CallerOperation operation :
       { CallerOperation::Run, CallerOperation::Commit }) {
    const CallerRequestReading reading = ReadCallerRequest(operation, aBytes);
    const bool named = reading.mCode == ResultCode::Ok ||
                       (reading.mCode >= ResultCode::MalformedRequest &&
                        reading.mCode <= ResultCode::UnknownKey);
    if (!named) {
      std::abort();
    }
  }
}

void
DecodePeerFrame(const std::string& aBytes)
{
  RoundTrip<PeerMessage>(aBytes);
  RoundTrip<std::uint64_t>(aBytes);
  try {
    FrameBuffer buffer;
    buffer.Append(aBytes);
    while (const std::optional<std::string> payload = buffer.Next()) {
      OpenPeerFrame(kKey, *payload);
    }
  } catch (const std::length_error&) {
    return;
  } catch (const DecodeError&) {
    return;
  }
}

void
DecodeServerReply(const std::string& aBytes)
{
  RoundTrip<ServerReply>(aBytes);
  RoundTrip<ServerRequest>(aBytes);
}

void
DecodeSessionToken(const std::string& aBytes)
{
  // As it comes, and behind the authentication.
  if (OpenSessionToken(kKey, aBytes) || OpenTransactionHandle(kKey, aBytes)) {
    std::abort();
  }
  for (const char kind : { 'S', 'T' }) {
    const std::string body = kind + aBytes;
    const std::string sealed = EncodeBase64(body + ComputeMac(kKey, body));
    if (OpenSessionToken(kKey, sealed) && kind != 'S') {
      std::abort();
    }
    OpenTransactionHandle(kKey, sealed);
  }
}

void
DecodeSettings(const std::string& aBytes)
{
  try {
    ParseSettings(ParseIni(aBytes, "fuzz.ini"));
  } catch (const std::runtime_error&) {
    return;
  }
}

void
DecodeStoreRows(const std::string& aBytes)
{
  // As the value of a row that another writer put there, and as an answer.
  const std::string row = R"({"Key":"copies/k","Ver":1,"Value":")" +
                          platform::WriteBase64(aBytes) + R"("})";
  const std::string answer = R"({"rows":[)" + row + R"(],"Ver":2,"NowMs":3})";
  for (const gateway::Table table : { gateway::Table::Operator,
                                      gateway::Table::Servers,
                                      gateway::Table::Fleet }) {
    gateway::TableAnswer rows;
    rows.mTable = table;
    platform::ReadRows(answer, 0, rows);
    try {
      platform::ReadRows(aBytes, 0, rows);
    } catch (const std::exception&) {
      continue;
    }
  }
  gateway::StoreWritten written;
  platform::ReadReceipt(aBytes, 0, written);
}

void
DecodeGatewayPeer(const std::string& aBytes)
{
  RoundTrip<gateway::PeerMessage>(aBytes);
  RoundTrip<gateway::RelayRequest>(aBytes);
  RoundTrip<gateway::RelayResponse>(aBytes);
}

void
DecodeServerLine(const std::string& aBytes)
{
  platform::ReadStatement(aBytes);
  platform::ReadStatus(aBytes);
  gateway::BackendReply reply;
  platform::ReadError(aBytes, reply);
  platform::ReadReady(aBytes, reply);
}

void
DecodeProfiles(const std::string& aBytes)
{
  try {
    ParseConfiguration(ParseIni(aBytes, "fuzz.ini"), 1);
  } catch (const std::runtime_error&) {
    return;
  }
}

}
