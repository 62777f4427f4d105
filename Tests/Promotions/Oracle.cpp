#include "Promotions/Oracle.h"

#include <algorithm>

namespace camphorstep::promotions {

namespace {

void
NoteBreach(Oracle& aOracle, std::string aText)
{
  if (!aOracle.mBreach) {
    aOracle.mBreach = std::move(aText);
  }
}

/// Notes the holder of a token, and whether it had another one.
void
NoteHolder(Oracle& aOracle,
           std::map<std::uint64_t, std::string>& aHolders,
           const std::string& aHolder,
           std::uint64_t aToken)
{
  const std::string& first =
    aHolders.try_emplace(aToken, aHolder).first->second;
  if (first != aHolder) {
    NoteBreach(aOracle,
               "ONE: two holders with token " + std::to_string(aToken) + ", " +
                 first + " and " + aHolder);
  }
}

}

void
NoteGrant(Oracle& aOracle, const std::string& aHolder, std::uint64_t aToken)
{
  if (!aHolder.empty()) {
    NoteHolder(aOracle, aOracle.mGranted, aHolder, aToken);
  }
}

void
NoteOrder(Oracle& aOracle, const std::string& aHolder, std::uint64_t aToken)
{
  if (aToken < aOracle.mHighestToken) {
    NoteBreach(aOracle,
               "ONE: an order of " + aHolder + " with token " +
                 std::to_string(aToken) + " after " +
                 std::to_string(aOracle.mHighestToken));
  }
  aOracle.mHighestToken = std::max(aOracle.mHighestToken, aToken);
  NoteHolder(aOracle, aOracle.mHolders, aHolder, aToken);
}

void
NotePromotion(Oracle& aOracle,
              const std::string& aServer,
              Term aTerm,
              const ServerLog& aLog)
{
  ++aOracle.mPromotions;
  aOracle.mTerm = aTerm;
  aOracle.mPromotedLog.clear();
  for (const LogEntry& entry : aLog) {
    aOracle.mPromotedLog.insert(entry.mWrite);
  }
  std::size_t lost = 0;
  for (const WriteId id : aOracle.mAcknowledged) {
    lost += aOracle.mPromotedLog.count(id) == 0 ? 1 : 0;
  }
  if (lost > 0) {
    NoteBreach(aOracle,
               "LOST: " + std::to_string(lost) +
                 " acknowledged writes are not in the log of " + aServer +
                 ", promoted to term " + std::to_string(aTerm));
  }
}

void
NoteCommit(Oracle& aOracle, const LogEntry& aEntry, bool aIsHeldUp)
{
  if (aEntry.mTerm < aOracle.mTerm) {
    (aIsHeldUp ? aOracle.mHeldUp : aOracle.mCommittedLate)
      .insert(aEntry.mWrite);
  }
}

void
NoteAcknowledged(Oracle& aOracle, const LogEntry& aEntry)
{
  if (aOracle.mHeldUp.count(aEntry.mWrite) > 0) {
    return;
  }
  aOracle.mAcknowledged.insert(aEntry.mWrite);
  if (aOracle.mCommittedLate.count(aEntry.mWrite) > 0) {
    NoteBreach(aOracle,
               "ONE: write " + std::to_string(aEntry.mWrite) + " of term " +
                 std::to_string(aEntry.mTerm) +
                 " was committed after the promotion to term " +
                 std::to_string(aOracle.mTerm) + ", and acknowledged");
  } else if (aEntry.mTerm < aOracle.mTerm &&
             aOracle.mPromotedLog.count(aEntry.mWrite) == 0) {
    NoteBreach(aOracle,
               "LOST: write " + std::to_string(aEntry.mWrite) + " of term " +
                 std::to_string(aEntry.mTerm) +
                 " was acknowledged after the promotion to term " +
                 std::to_string(aOracle.mTerm) + ", whose log lacks it");
  }
}

}
