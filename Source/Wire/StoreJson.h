#pragma once

#include <string>
#include <vector>

#include "Messages/StoreMessage.h"

namespace camphorstep {

/// Whether a transaction took effect.
struct StoreCommit
{
  bool mCommitted = false;
};

// The JSON bodies of the table service, as docs/TABLE-SERVICE.md describes
// them. Reading throws std::exception on malformed text.

std::string ToJson(const StoreQuery& aQuery);
std::string ToJson(const StoreTransaction& aTransaction);
std::string ToJson(const StoreCommit& aCommit);
std::string ToJson(const std::vector<StoreRow>& aRows);
std::string ToJson(const std::vector<ListedMachine>& aMachines);

void FromJson(const std::string& aText, StoreQuery& aQuery);
void FromJson(const std::string& aText, StoreTransaction& aTransaction);
void FromJson(const std::string& aText, StoreCommit& aCommit);
void FromJson(const std::string& aText, std::vector<StoreRow>& aRows);
void FromJson(const std::string& aText, std::vector<ListedMachine>& aMachines);

}
