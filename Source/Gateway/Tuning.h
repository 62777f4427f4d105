#pragma once

#include <cstdint>

#include "Common/Time.h"

namespace camphorstep::gateway {

using namespace std::chrono_literals;

/// For this long after a primary and a replica were asked, both answers
/// prove that nobody else has been promoted; a promoter waits as long after
/// it has paused the replicas. It spans a few samples of a slow host.
constexpr Duration kLeaseTime = 1'000ms;
/// What is kept of the lease for the way from the check to the server.
constexpr Duration kLeaseMargin = 50ms;

/// How often the servers of a group are asked for their status.
constexpr Duration kSampleInterval = 250ms;
/// How long a host that is asked for news may wait for some.
constexpr Duration kHoldTime = 300ms;
/// A host that asks other hosts for news asks servers itself when the proof of
/// the primary that it was told is about to end.
constexpr Duration kOwnSampleLead = 300ms;
/// A host that leaves this to another one of its data centre does so when
/// there has been no proof for this time.
constexpr Duration kFollowerPatience = 3s;
/// The same while the primary is in doubt or being changed.
constexpr Duration kUrgentSampleInterval = 100ms;
/// A status request that takes longer means a silent connection.
constexpr Duration kStatusTimeout = 400ms;
/// Samples of the primary's position that are kept for bounded reads.
constexpr std::size_t kMaxSamples = 32;
/// What is kept of a read's allowed age for the way to the server.
constexpr Duration kAgeMargin = 60ms;
/// A replica that lacked a position is asked for it again after this time.
constexpr Duration kBehindPause = 200ms;

/// Connections of each server that are left to other callers of it.
constexpr std::uint32_t kSpareConnections = 4;
/// Connections that may be opened to one server at once.
constexpr std::uint32_t kMaxOpening = 4;
/// Between a failed opening and the next to the same server.
constexpr Duration kOpenRetryDelay = 100ms;
/// A connection that takes longer to open is given up.
constexpr Duration kOpenTimeout = 1'000ms;
/// A connection for status requests that is not needed is closed after this
/// time.
constexpr Duration kIdleControlTime = 100ms;
/// An idle connection is closed after this time.
constexpr Duration kIdleLinkTime = 4s;
/// The same at a server whose connections are scarce, and at one that has
/// hardly any left.
constexpr Duration kScarceIdleLinkTime = 150ms;
constexpr Duration kVeryScarceIdleLinkTime = 10ms;
/// Connections are scarce when so many percent of them are used.
constexpr std::uint32_t kScarcePercent = 70;
constexpr std::uint32_t kVeryScarcePercent = 85;
/// A server that refused a connection because it holds too many is taken to be
/// full for this time.
constexpr Duration kFullTime = 300ms;
/// Between two openings at a full server.
constexpr Duration kFullRetryDelay = 40ms;

/// How often one statement may be sent to servers while none has run it.
constexpr std::uint32_t kMaxAttempts = 5;
/// Before a statement that a busy server refused is sent again.
constexpr Duration kBusyPause = 25ms;
/// What a refused caller is told to wait.
constexpr Duration kRetryHint = 300ms;

/// Between two reads of the servers' entries, and of the hosts' entries, on
/// the promoter, and of either on a host that hears nobody.
constexpr Duration kServersPollInterval = 1'000ms;
constexpr Duration kHostsPollInterval = 3'000ms;
/// How long the store may hold a call that waits for a change.
constexpr Duration kFollowWait = 1'000ms;
/// Before a failed call to the store is made again, the first time and at
/// most.
constexpr Duration kStoreRetryDelay = 300ms;
constexpr Duration kMaxStoreRetryDelay = 900ms;
/// A primary that is leaving gets new work for this long at most.
constexpr Duration kLeavingPrimaryUse = 4s;
/// An entry that is missing for longer names a server that is gone.
constexpr Duration kMissingEntryGrace = 2'500ms;

/// The promoter's lease, by the store's clock.
constexpr Duration kPromoterLeaseTime = 5s;
constexpr Duration kPromoterRenewInterval = 1'700ms;
/// How long before its end the holder stops using the lease.
constexpr Duration kPromoterLeaseMargin = 700ms;

/// A host without any event for this time has stood still: no timer of its own
/// is further away.
constexpr Duration kStandstill = 500ms;
/// A primary is replaced after no host has heard it for this long.
constexpr Duration kPrimarySilence = 700ms;
/// Writes that reach no replica for this long have the primary replaced.
constexpr Duration kReplicationStall = 1'500ms;
/// Evidence that a pause still holds must not be older before a promotion.
constexpr Duration kFenceFreshness = 300ms;
/// Before a promotion without a clear answer is asked for again.
constexpr Duration kPromoteRetryDelay = 300ms;

// Parts of the time that a stop may take, in percent.
/// A stopping host serves new callers until the balancer has seen that it is
/// not ready.
constexpr int kStopNoticePercent = 42;
/// Open transactions are rolled back after this part; half is theirs.
constexpr int kStopTransactionPercent = 58;
/// The process ends at the latest.
constexpr int kStopEndPercent = 87;

}
