#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "Common/Mac.h"
#include "Model/Ids.h"
#include "Model/Position.h"

namespace camphorstep {

/// The least position at which a session may read, for each database it has
/// used.
struct SessionToken
{
  std::map<DatabaseId, Position> mPositions;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mPositions);
  }
};

/// The server and dispatcher of an open transaction, so that any host can
/// forward its next calls.
struct TransactionHandle
{
  TransactionId mTransaction;
  DatabaseId mDatabase;
  ServerId mServer;
  HostId mDispatcher;
  std::string mService;

  template<typename Archive>
  void serialize(Archive& aArchive)
  {
    aArchive(mTransaction, mDatabase, mServer, mDispatcher, mService);
  }
};

/// Encodes a token as authenticated text (MAC with the key, Base64).
std::string SealSessionToken(const MacKey& aKey, const SessionToken& aToken);

/// Decodes a token; nothing if it is malformed or not authentic.
std::optional<SessionToken> OpenSessionToken(const MacKey& aKey,
                                             std::string_view aText);

std::string SealTransactionHandle(const MacKey& aKey,
                                  const TransactionHandle& aHandle);

std::optional<TransactionHandle> OpenTransactionHandle(const MacKey& aKey,
                                                       std::string_view aText);

}
