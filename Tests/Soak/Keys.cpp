#include "Keys.h"

namespace camphorstep::soak {

namespace {

constexpr std::size_t kAccounts = 3;
/// Stands for callers of a deployment without accounts.
constexpr const char* kNoAccount = "camphorstep";

std::string
AccountName(std::size_t aCaller)
{
  return "account" + std::to_string(aCaller % kAccounts);
}

}

Keys::Keys(bool aHasAccounts, std::size_t aCallers)
  : mHasAccounts(aHasAccounts)
  , mCallers(aCallers)
{
}

std::string
Keys::KeyOf(std::size_t aCaller)
{
  return "key" + std::to_string(aCaller);
}

std::vector<standin::StandinAccount>
Keys::Accounts() const
{
  const std::lock_guard lock(mMutex);
  std::vector<standin::StandinAccount> accounts{ { OwnKey(), { OwnKey() } } };
  for (std::size_t n = 0; n < kAccounts; ++n) {
    accounts.push_back({ AccountName(n), {} });
  }
  for (std::size_t n = 0; n < mCallers; ++n) {
    if (!mTaken.contains(n)) {
      accounts[1 + n % kAccounts].mKeys.push_back(KeyOf(n));
    }
  }
  return accounts;
}

void
Keys::Take(std::size_t aCaller)
{
  const std::lock_guard lock(mMutex);
  mTaken.emplace(aCaller, std::nullopt);
}

void
Keys::NoteTaken(std::size_t aCaller)
{
  const std::lock_guard lock(mMutex);
  const auto it = mTaken.find(aCaller);
  if (it != mTaken.end() && !it->second) {
    it->second = Clock::now();
  }
}

void
Keys::Return(std::size_t aCaller)
{
  const std::lock_guard lock(mMutex);
  mTaken.erase(aCaller);
}

bool
Keys::IsGone(std::size_t aCaller, Clock::time_point aSentAt) const
{
  const std::lock_guard lock(mMutex);
  const auto it = mTaken.find(aCaller);
  return it != mTaken.end() && it->second &&
         aSentAt >= *it->second + kRevokeTimeout;
}

std::string
Keys::AccountOfStatement(const std::string& aId) const
{
  if (!mHasAccounts) {
    return kNoAccount;
  }
  // Ids of callers are "c7-15"; others are the run's own.
  return aId.starts_with('c') ? AccountName(std::stoull(aId.substr(1)))
                              : OwnKey();
}

}
