#pragma once

#include <cstdint>

#include "Common/Time.h"

namespace camphorstep::gateway {

using namespace std::chrono_literals;

/// For this long after a status request to the primary and to a replica, their
/// answers prove that no other server has been promoted. A promoter waits this
/// long after it has paused the replicas. It spans a few samples of a slow
/// host.
constexpr Duration kEvidenceTimeout = 1'000ms;
/// Safety margin of that time, for the delay between checking the evidence and
/// the statement's arrival at the server.
constexpr Duration kEvidenceMargin = 50ms;

/// A replica that was paused, or has joined, is no evidence for this long. It
/// is longer than a promotion takes from the promoter's last look at the
/// servers: the age of a status, the request and its effect.
constexpr Duration kEvidenceProbation = 2'500ms;

/// Interval of the promoter's status requests to the servers of a group.
constexpr Duration kSampleInterval = 250ms;
/// How long a host may hold a query of another host while it has nothing new to
/// report.
constexpr Duration kLongPollTimeout = 300ms;
/// A host that gets statuses from other hosts queries the servers itself when
/// its evidence of the primary ends within this time.
constexpr Duration kEvidenceRefreshLeadTime = 300ms;
/// A host that gets statuses from a host of its own data centre queries the
/// servers itself only after this time without sufficient evidence.
constexpr Duration kFollowerSampleDelay = 3s;
/// By how much later than the host before it in its data centre.
constexpr Duration kFollowerSampleStep = 300ms;
/// Interval of the status requests while there is no evidence of a primary or
/// the primary is being replaced.
constexpr Duration kUrgentSampleInterval = 100ms;
/// A control connection that leaves a status request unanswered, or that does
/// not open, for this long is replaced.
constexpr Duration kStatusTimeout = 400ms;
/// The same for a server that answers late. A later status is no evidence.
constexpr Duration kMaxStatusTimeout = 1'600ms;
/// The longest delay before a host that is not the promoter opens a control
/// connection again.
constexpr Duration kMaxControlDelay = 3'200ms;
/// The most samples of the primary's log position that are kept for reads with
/// bounded staleness.
constexpr std::size_t kMaxSamples = 48;
/// Deducted from a read's greatest age, for the delay on the way to the server.
constexpr Duration kAgeMargin = 60ms;
/// A replica that had not applied a required position is not expected to have
/// it until this time has passed.
constexpr Duration kReplicaBehindDelay = 200ms;

/// Connections of each server that are left to callers other than the hosts.
constexpr std::uint32_t kSpareConnections = 4;
/// The most connections to one server that are being opened at the same time.
constexpr std::uint32_t kMaxOpening = 4;
/// Delay between a failed opening and the next one to the same server.
constexpr Duration kOpenRetryDelay = 100ms;
/// A connection that takes this long to open is closed.
constexpr Duration kOpenTimeout = 1'000ms;
/// A connection whose server leaves a rollback or a reset unanswered for this
/// long is closed.
constexpr Duration kCleanupTimeout = 3s;
/// A connection for status requests that is not needed is closed after this
/// time.
constexpr Duration kIdleControlTimeout = 100ms;
/// An idle connection is closed after this time.
constexpr Duration kIdleLinkTimeout = 4s;
/// Idle time limits for a server whose connections are scarce, and for one that
/// has hardly any left.
constexpr Duration kScarceIdleLinkTimeout = 150ms;
constexpr Duration kVeryScarceIdleLinkTimeout = 10ms;
/// The percentages of used connections from which these limits apply.
constexpr std::uint32_t kScarcePercent = 70;
constexpr std::uint32_t kVeryScarcePercent = 85;
/// A server that refused a connection because it has too many counts as full
/// for this time.
constexpr Duration kServerFullTimeout = 300ms;
/// Delay between two openings of connections to a full server.
constexpr Duration kServerFullRetryDelay = 40ms;

/// The most attempts to have one statement run, counting those in which only
/// the begin of its transaction was sent.
constexpr std::uint32_t kMaxAttempts = 5;
/// Delay before a statement that an overloaded server refused is sent again.
constexpr Duration kBusyRetryDelay = 25ms;
/// The delay before a retry that the answer to a refused statement advises.
constexpr Duration kRetryHint = 300ms;

/// Intervals of the reads of the servers' entries and of the hosts' entries on
/// the promoter. A host that gets no reports from another one reads both at the
/// first interval.
constexpr Duration kServersPollInterval = 1'000ms;
constexpr Duration kHostsPollInterval = 3'000ms;
/// How long the store may hold a call that waits for a change.
constexpr Duration kTableWatchTimeout = 1'000ms;
/// By how much later than the host before it in its data centre a host calls
/// the store, and at most than the first of them. Routes have to be in force
/// some seconds after they were published.
constexpr Duration kFollowerCallDelay = 100ms;
constexpr Duration kMaxFollowerCallDelay = 1'500ms;
/// Delay before a failed call to the store is retried: after the first failure,
/// and at most.
constexpr Duration kStoreRetryDelay = 300ms;
constexpr Duration kMaxStoreRetryDelay = 900ms;
/// A primary that is leaving is given new work for at most this long.
constexpr Duration kLeavingPrimaryTimeout = 4s;
/// A server whose entry has been missing for longer than this is removed.
constexpr Duration kMissingEntryGrace = 2'500ms;

/// The duration of the promoter's lease, by the store's clock.
constexpr Duration kPromoterLeaseDuration = 5s;
/// The interval at which the holder renews the lease.
constexpr Duration kPromoterRenewInterval = 1'700ms;
/// How long before its end the holder stops using the lease.
constexpr Duration kPromoterLeaseMargin = 700ms;

/// A host that has had no event for longer than this was stalled, since the
/// intervals of its own timers are shorter.
constexpr Duration kHostStallTimeout = 500ms;
/// A promoter replaces the primary of a group after it has received nothing
/// from the primary, or has known of no primary, for this long.
constexpr Duration kPrimarySilenceTimeout = 700ms;
/// A primary whose writes reach no replica for this long is replaced.
constexpr Duration kReplicationStallTimeout = 1'500ms;
/// The greatest age, at a promotion, of a status that shows that a replica is
/// still paused.
constexpr Duration kMaxFenceStatusAge = 300ms;
/// A request to promote a server that has no answer for this long is given up.
constexpr Duration kPromoteTimeout = 1'500ms;
/// Delay before a promotion that got no clear answer is requested again.
constexpr Duration kPromoteRetryDelay = 300ms;

// Percentages of the grace time of a planned stop.
/// Until then a stopping host accepts new sessions, since the load balancer may
/// not have seen yet that it is not ready.
constexpr int kStopNoticePercent = 42;
/// From then on open transactions are rolled back. More than half of the grace
/// time is left to them.
constexpr int kStopTransactionPercent = 58;
/// The stop completes at the latest.
constexpr int kStopEndPercent = 87;

}
