#pragma once

#include <string>
#include <vector>

#include "Support/Cluster.h"

namespace camphorstep::testing {

/// What a client asked for, and what it was told.
struct Asked
{
  std::size_t mHost = 0;
  CallId mCall;
  bool mWrite = false;
  bool mReplicated = true;
  std::string mText;
  /// The client whose key is written or read, and the number written.
  std::size_t mOwner = 0;
  int mNumber = 0;
  Instant mAskedAt{};
  std::optional<GivenAnswer> mGiven;

  bool IsDone() const
  {
    return mGiven && mGiven->mAnswer.mOutcome == Outcome::Done;
  }
};

/// One client on each host that writes its own key and reads another one's,
/// one request after the other.
class Workload
{
public:
  explicit Workload(Cluster& aCluster);

  /// Lets time pass while the clients work.
  void Run(Duration aDuration);

  /// Checks what the clients were told against the final log, once all is
  /// healed. Returns the violations found.
  std::vector<std::string> Check() const;

  std::vector<Asked> mAsked;

private:
  void Collect();
  void QueryNextSource(std::size_t aHost);
  void CheckWrites(std::vector<std::string>& aFound) const;
  void CheckReads(std::vector<std::string>& aFound) const;
  void CheckOrder(std::vector<std::string>& aFound) const;
  int CountInLog(const std::string& aText) const;

  Cluster& mCluster;
  std::size_t mCollected = 0;
  std::vector<std::size_t> mCurrent;
  std::vector<Instant> mNextAt;
  std::vector<int> mTurns;
};

}
