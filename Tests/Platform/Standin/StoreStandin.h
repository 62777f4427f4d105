#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include <cxxtools/timer.h>

#include "HttpStandin.h"

namespace camphorstep::standin {

/// What the store does to all calls.
enum class StoreFault : std::uint8_t
{
  None,
  /// Refuses them without doing anything.
  Refuse,
  /// Neither does nor answers anything.
  Silent,
  /// Does what it is asked and does not answer writes.
  LoseAnswers,
  /// Does writes some seconds later, if their conditions hold by then, and does
  /// not answer them.
  LateWrites,
};

/// The platform's store: rows in tables, conditional transactions and a feed
/// of changes.
class StoreStandin : public cxxtools::Connectable
{
public:
  StoreStandin(cxxtools::SelectorBase& aLoop, const Address& aAddress);

  /// Writes a row from the side, as operators and servers do.
  void Put(const std::string& aTable,
           const std::string& aKey,
           const std::string& aValue);

  /// Removes a row from the side.
  void Drop(const std::string& aTable, const std::string& aKey);

  /// The value of a row, or an empty text.
  std::string Value(const std::string& aTable, const std::string& aKey) const;

  /// Whether a row exists.
  bool Has(const std::string& aTable, const std::string& aKey) const;

  /// Keeps a copy of the rows, and returns from it: what was written since is
  /// lost, versions are given out again, and the era grows.
  void KeepCopy();
  void ReturnFromCopy();

  /// What the store does from now on.
  void SetFault(StoreFault aFault) { mFault = aFault; }

  HttpStandin& Http() { return mHttp; }

private:
  using Clock = std::chrono::steady_clock;

  struct Row
  {
    std::string mTable;
    std::string mKey;
    /// Base64; empty for a row that was dropped.
    std::string mValue;
    std::uint64_t mVersion = 0;
  };

  /// A feed call that waits for a change.
  struct Watch
  {
    std::uint64_t mClient = 0;
    std::string mTable;
    std::uint64_t mAfter = 0;
    Clock::time_point mEnd;
  };

  /// A write that is done later.
  struct LateWrite
  {
    HttpRequest mRequest;
    Clock::time_point mAt;
  };

  void Answer(std::uint64_t aClient,
              unsigned aStatus,
              const std::string& aBody);
  void Handle(const HttpRequest& aRequest);
  void HandleTransaction(const HttpRequest& aRequest);
  /// Does the writes whose time has come.
  void DoLateWrites();
  void PutEncoded(const std::string& aTable,
                  const std::string& aKey,
                  const std::string& aValue);
  std::string Rows(const std::string& aTable,
                   std::uint64_t aAfter,
                   bool aWithDropped) const;
  void OnTimer();
  void AnswerWatches();

  HttpStandin mHttp;
  cxxtools::Timer mTimer;
  std::map<std::pair<std::string, std::string>, Row> mRows;
  std::uint64_t mVersion = 0;
  std::map<std::pair<std::string, std::string>, Row> mCopy;
  std::uint64_t mCopyVersion = 0;
  std::uint64_t mEra = 1;
  StoreFault mFault = StoreFault::None;
  std::vector<Watch> mWatches;
  /// In the order of their times.
  std::deque<LateWrite> mLateWrites;
};

}
