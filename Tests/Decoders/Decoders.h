#pragma once

#include <string>

namespace camphorstep::fuzz {

// One function for each decoder that bytes from outside reach. Refusals are
// exceptions or codes of the documented kinds; anything else that a decoder
// does to bad input is a finding.

void DecodeCallerRequest(const std::string& aBytes);
void DecodePeerFrame(const std::string& aBytes);
void DecodeServerReply(const std::string& aBytes);
void DecodeSessionToken(const std::string& aBytes);
void DecodeSettings(const std::string& aBytes);
void DecodeProfiles(const std::string& aBytes);
void DecodeStoreRows(const std::string& aBytes);
void DecodeGatewayPeer(const std::string& aBytes);
void DecodeServerLine(const std::string& aBytes);

}
