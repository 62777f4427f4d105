#pragma once

#include "Gateway/Tuning.h"
#include "GatewayDriver.h"

namespace camphorstep::gateway {

/// A host "h1" that does not hold the promoter's lease. Another one, "h2" of
/// the same data centre, has more processor time and does.
struct Follower : GatewayDriver
{
  Follower()
  {
    mState.mPromoter.mHeldUntil = Instant{};
    mState.mPromoter.mLease.mHolder = "h2";
    mState.mTimers.Cancel(TimerKind::PromoterLease, 0);
    AddHost("h1", "a", 250);
    AddHost("h2", "a", 500);
    mState.mSelf.mEntry = mState.mCatalogue.mHosts["h1"];
    // The driver has dropped the call that was underway.
    mState.mCatalogue.mTables.at(2).mCall = CallId{};
  }

  void AddHost(const std::string& aName,
               const std::string& aDataCentre,
               std::uint32_t aProcessorShare)
  {
    mState.mCatalogue.mHosts[aName] = {
      aName, { aName, 1 }, aDataCentre, 8, aProcessorShare
    };
  }

  /// What the servers say, asked for a time ago, in answer to a query.
  PeerReport MakeReport(const PeerQuery& aQuery, Duration aAge) const
  {
    PeerReport report;
    report.mNumber = aQuery.mNumber;
    report.mIsPromoter = true;
    for (const FakeServer& server : mServers) {
      ServerReport entry;
      entry.mServer = IdOf<ServerId>(server.mName);
      entry.mStatus.mPrimary = server.mPrimary;
      entry.mStatus.mTerm = server.mTerm;
      entry.mStatus.mReceived = { server.mTerm, server.mIndex };
      entry.mStatus.mPauseTerm = server.mPauseTerm;
      entry.mApplied = entry.mStatus.mReceived;
      entry.mAge = aAge;
      report.mServers.push_back(entry);
    }
    for (std::size_t n = 0; n < kTableCount; ++n) {
      TableReport news;
      news.mTable = static_cast<Table>(n);
      news.mVersion = mState.mCatalogue.mTables.at(n).mVersion;
      news.mAge = mConfirmationAge;
      report.mTables.push_back(news);
    }
    report.mRetiredTerms = mRetiredTerms;
    return report;
  }

  /// Lets time pass while the source answers each query after it has held it
  /// for as long as it may.
  void Follow(Duration aTime)
  {
    using namespace std::chrono_literals;
    for (Duration passed{ 0 }; passed < aTime; passed += 10ms) {
      Run(10ms);
      while (const auto query = Take<SendPeerQuery>()) {
        mQuery = query->mQuery;
        mAskedAt = mNow;
      }
      if (mQuery && mNow - mAskedAt >= mQuery->mMaxWait) {
        PeerReport report = MakeReport(*mQuery, 50ms);
        report.mHeld = mQuery->mMaxWait;
        mQuery.reset();
        Deliver(report);
      }
    }
  }

  /// How long ago the store confirmed the tables of the source.
  Duration mConfirmationAge{ 0 };
  /// What the source reports of retired terms.
  std::optional<RetiredTermsReport> mRetiredTerms;
  std::optional<PeerQuery> mQuery;
  Instant mAskedAt;
};

}
