#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "Ledger.h"
#include "SiteStandin.h"

namespace camphorstep::soak {

/// How long a gateway may serve a key that was taken away.
constexpr std::chrono::milliseconds kRevokeTimeout{ 2'000 };

/// The client accounts of a run with accounts, or of one without. Each caller
/// has a key of its own. All functions may be called from any thread.
class Keys
{
public:
  Keys(bool aHasAccounts, std::size_t aCallers);

  bool HasAccounts() const { return mHasAccounts; }
  std::size_t CountCallers() const { return mCallers; }

  /// The key of a caller, and that of the run's own sessions.
  static std::string KeyOf(std::size_t aCaller);
  static std::string OwnKey() { return "soak"; }

  /// The accounts without the keys that are taken away.
  std::vector<standin::StandinAccount> Accounts() const;

  /// Takes a caller's key away, before that is published, and notes that the
  /// store has the configuration without it.
  void Take(std::size_t aCaller);
  void NoteTaken(std::size_t aCaller);

  /// Gives a key back, before that is published.
  void Return(std::size_t aCaller);

  /// Whether no statement that was sent at a time may be served any longer.
  bool IsGone(std::size_t aCaller, Clock::time_point aSentAt) const;

  /// In whose name servers are to be sent a statement, by its id.
  std::string AccountOfStatement(const std::string& aId) const;

private:
  bool mHasAccounts;
  std::size_t mCallers;
  mutable std::mutex mMutex;
  /// Keys that are taken away, and since when the store has that.
  std::map<std::size_t, std::optional<Clock::time_point>> mTaken;
};

}
