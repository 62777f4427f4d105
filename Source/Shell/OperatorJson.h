#pragma once

#include <string>

#include "Messages/OperatorMessage.h"

namespace camphorstep {

// The JSON bodies of the operators' interface, shared by the listener and the
// command line. Reading throws std::exception on malformed text.

std::string ToJson(const PublishProfiles& aAction);
std::string ToJson(const ReadProfiles& aAction);
std::string ToJson(const ReadAudit& aAction);
std::string ToJson(const DrainHost& aAction);
std::string ToJson(const OperatorAnswer& aAnswer);

void FromJson(const std::string& aText, PublishProfiles& aAction);
void FromJson(const std::string& aText, ReadProfiles& aAction);
void FromJson(const std::string& aText, ReadAudit& aAction);
void FromJson(const std::string& aText, DrainHost& aAction);
void FromJson(const std::string& aText, OperatorAnswer& aAnswer);

}
