#include "RateLimits/RateLimits.h"

#include <algorithm>
#include <utility>

#include "Catalogue/Tables.h"
#include "Fleet/Sources.h"
#include "Group/Promoter.h"
#include "RateLimits/Floor.h"
#include "Session/Answers.h"
#include "Session/Sessions.h"
#include "Session/Transactions.h"

namespace camphorstep::gateway {

namespace {

/// The interval between two queries for shares.
constexpr Duration kShareQueryInterval = 1s;
/// More tokens than this are not given in answer to one query.
constexpr unsigned kMaxTokensPerQuery = 10'000;
/// When a host may come back for tokens of an account of which its source knows
/// no limit, since one of them has an older configuration.
constexpr Duration kUnknownLimitRetryDelay = 100ms;

/// The limit of an account; none if it has none.
std::optional<RateLimit>
LimitOf(const Context& aContext, AccountId aAccount)
{
  const LimitedAccount* const account =
    Find(aContext.mState.mRateLimits.mAccounts, aAccount);
  return account == nullptr ? std::nullopt : std::optional(account->mLimit);
}

bool
HasFloor(const Context& aContext)
{
  const State& state = aContext.mState;
  const TableProgress& list =
    state.mCatalogue.mTables.at(static_cast<std::size_t>(Table::Fleet));
  FloorTerms terms;
  terms.mIsFirst = state.mRateLimits.mIsFirst;
  if (list.mKnown) {
    terms.mListAge = aContext.mNow - list.mConfirmedAt;
  }
  terms.mHadPlaceBefore = state.mRateLimits.mHadPlaceBefore;
  if (state.mRateLimits.mListedSince) {
    terms.mListedFor = aContext.mNow - *state.mRateLimits.mListedSince;
  }
  return !state.mStop.mUnderway && SpendsFloor(terms);
}

/// Whether an entry is of an earlier process of this host that had the same
/// place among the hosts of its data centre.
bool
IsOfEarlierProcess(const Context& aContext, const HostEntry& aEntry)
{
  const HostEntry& self = aContext.mState.mSelf.mEntry;
  return aEntry.mName == self.mName &&
         aEntry.mIncarnation != self.mIncarnation &&
         aEntry.mDataCentre == self.mDataCentre &&
         aEntry.mProcessorShare == self.mProcessorShare;
}

/// The host that this one queries for shares and tokens; nullptr if there is
/// none.
const HostEntry*
TokenSource(const Context& aContext)
{
  const State& state = aContext.mState;
  return HoldsPromoterLease(aContext)
           ? nullptr
           : Find(state.mCatalogue.mHosts, state.mFleet.mSourceState.mSource);
}

AllowanceTerms
TermsOf(const Context& aContext, const RateLimit& aLimit)
{
  const State& state = aContext.mState;
  AllowanceTerms terms;
  terms.mNow = aContext.mNow;
  terms.mLimit = aLimit;
  terms.mBounds = state.mRateLimits.mBounds;
  terms.mDataCentres = state.mSelf.mRegions.size();
  terms.mHasFloor = HasFloor(aContext);
  if (HoldsPromoterLease(aContext)) {
    terms.mGranter =
      GranterTerm{ state.mPromoter.mFirstToken, state.mPromoter.mHeldUntil };
  }
  terms.mHasSource = TokenSource(aContext) != nullptr;
  return terms;
}

void
QueryTokenSource(Context& aContext, RateLimitQuery aQuery)
{
  if (const HostEntry* const source = TokenSource(aContext)) {
    Emit(aContext,
         SendRateLimitQuery{ source->mPeerAddress, std::move(aQuery) });
  }
}

void
RefuseOperation(Context& aContext, Session& aSession, Duration aRetryAfter)
{
  ++aContext.mState.mCounters.mRateLimits.mRefused;
  FailTransaction(aContext, aSession);
  RefuseOverLimit(aContext, aSession, aRetryAfter);
}

void
NoteAllowed(Context& aContext, Session& aSession)
{
  ++aContext.mState.mCounters.mRateLimits.mAllowed;
  aSession.mActive->mTokenRequest = 0;
  aSession.mActive->mStage = StatementStage::AwaitingServer;
  aSession.mTransaction.mIsAllowed = InTransaction(aSession);
}

/// Starts or refuses a statement that has waited for its token.
void
EndWait(Context& aContext, SessionId aSession, const TokenDecision& aDecision)
{
  Session* const session = Find(aContext.mState.mSessions, aSession);
  // The caller may have left, and its next statement may wait.
  if (session == nullptr || !session->mActive ||
      session->mActive->mTokenRequest != aDecision.mId) {
    return;
  }
  if (aDecision.mIsComplete) {
    NoteAllowed(aContext, *session);
    StartActiveStatement(aContext, *session);
  } else {
    RefuseOperation(aContext, *session, aDecision.mRetryAfter);
  }
  ContinueSession(aContext, aSession);
}

void
AnswerTokenQuery(Context& aContext,
                 const TokenQueryWaiting& aQuery,
                 AccountId aAccount,
                 const TokenDecision& aDecision)
{
  aContext.mState.mCounters.mRateLimits.mGiven += aDecision.mGranted;
  Emit(aContext,
       SendRateLimitReport{
         aQuery.mLink,
         TokensReported{
           aAccount,
           { aQuery.mNumber, aDecision.mGranted, aDecision.mRetryAfter } } });
}

/// Carries out what was decided on requests that waited or came from other
/// hosts, and queries the source.
void
CarryOut(Context& aContext,
         AccountId aAccount,
         const AllowanceOutcome& aOutcome)
{
  RateLimitState& limits = aContext.mState.mRateLimits;
  if (aOutcome.mWanted) {
    QueryTokenSource(aContext, TokensQueried{ aAccount, *aOutcome.mWanted });
  }
  for (const TokenDecision& decision : aOutcome.mDecisions) {
    if (const auto query = limits.mQueries.extract(decision.mId)) {
      AnswerTokenQuery(aContext, query.mapped(), aAccount, decision);
    } else if (const auto session = limits.mSessions.extract(decision.mId)) {
      EndWait(aContext, session.mapped(), decision);
    }
  }
  const Allowance* const allowance =
    Find(limits.mAllowances.mAccounts, aAccount);
  const auto next =
    allowance == nullptr ? std::nullopt : NextExpiry(*allowance);
  if (next) {
    aContext.mState.mTimers.Arm(
      TimerKind::TokenRequests, aAccount.mValue, *next);
  } else {
    aContext.mState.mTimers.Cancel(TimerKind::TokenRequests, aAccount.mValue);
  }
}

/// Has shares exchanged from the first use of a limit on.
void
EnsureSharesExchanged(Context& aContext)
{
  aContext.mState.mTimers.ArmSooner(
    TimerKind::Shares, 0, aContext.mNow + kShareQueryInterval);
}

/// Begins a ledger if this host has become the granter.
void
UpdateLedger(Context& aContext)
{
  Ledger& ledger = aContext.mState.mRateLimits.mLedger;
  const std::uint64_t token = aContext.mState.mPromoter.mFirstToken;
  if (ledger.mToken == token) {
    return;
  }
  BeginLedger(ledger, token, aContext.mNow);
  Log(aContext,
      LogSeverity::Info,
      "this host grants shares of accounts' limits",
      { { "lease_token", std::to_string(token) },
        { "renews_only_ms",
          Milliseconds(ledger.mRecoversUntil - aContext.mNow) } });
}

/// Gives this host, as the granter, its own shares.
void
GrantOwnShares(Context& aContext)
{
  RateLimitState& limits = aContext.mState.mRateLimits;
  const HostEntry& self = aContext.mState.mSelf.mEntry;
  UpdateLedger(aContext);
  const std::uint64_t number = ++limits.mLastShareQuery;
  NoteShareQuery(
    limits.mLedger,
    self.mName,
    number,
    PresentShares(limits.mAllowances, self.mIncarnation, aContext.mNow),
    aContext.mNow);
  const auto report = GrantShares(
    limits.mLedger, self.mName, number, self.mIncarnation, aContext.mNow);
  if (report) {
    ApplyOwnShares(limits.mAllowances, *report, aContext.mNow);
  }
}

/// Whether this host spends shares of its own: it queries the granter, and is
/// not in the granter's data centre, whose hosts get tokens at once.
bool
IsSpender(const Context& aContext)
{
  const State& state = aContext.mState;
  const HostEntry* const source = TokenSource(aContext);
  return source != nullptr && source->mName == state.mPromoter.mLease.mHolder &&
         source->mDataCentre != state.mSelf.mEntry.mDataCentre;
}

void
QueryShares(Context& aContext)
{
  RateLimitState& limits = aContext.mState.mRateLimits;
  const HostEntry& self = aContext.mState.mSelf.mEntry;
  SharesQueried query;
  query.mNumber = ++limits.mLastShareQuery;
  query.mHost = self.mName;
  query.mQuery =
    PresentShares(limits.mAllowances, self.mIncarnation, aContext.mNow);
  limits.mSharesAskedAt = aContext.mNow;
  limits.mIsShareQueryPending = true;
  QueryTokenSource(aContext, std::move(query));
}

void
AnswerShareQuery(Context& aContext,
                 PeerLinkId aLink,
                 const SharesQueried& aQuery)
{
  if (!HoldsPromoterLease(aContext)) {
    return;
  }
  UpdateLedger(aContext);
  EnsureSharesExchanged(aContext);
  Ledger& ledger = aContext.mState.mRateLimits.mLedger;
  NoteShareQuery(
    ledger, aQuery.mHost, aQuery.mNumber, aQuery.mQuery, aContext.mNow);
  const auto report = GrantShares(ledger,
                                  aQuery.mHost,
                                  aQuery.mNumber,
                                  aQuery.mQuery.mIncarnation,
                                  aContext.mNow);
  if (report) {
    Emit(
      aContext,
      SendRateLimitReport{ aLink, SharesReported{ aQuery.mNumber, *report } });
  }
}

void
ReceiveTokenQuery(Context& aContext,
                  PeerLinkId aLink,
                  const TokensQueried& aQuery)
{
  const auto limit = LimitOf(aContext, aQuery.mAccount);
  const TokenQueryWaiting waiting{ aLink, aQuery.mWanted.mNumber };
  if (!limit) {
    TokenDecision none;
    none.mRetryAfter = kUnknownLimitRetryDelay;
    AnswerTokenQuery(aContext, waiting, aQuery.mAccount, none);
    return;
  }
  EnsureSharesExchanged(aContext);
  TokenRequest request;
  request.mId = ++aContext.mState.mLastId;
  request.mCount = std::min(aQuery.mWanted.mCount, kMaxTokensPerQuery);
  request.mDeadline = aContext.mNow + kTokenTimeout - kTokenTimeoutPerHop;
  RateLimitState& limits = aContext.mState.mRateLimits;
  limits.mQueries.emplace(request.mId, waiting);
  CarryOut(
    aContext,
    aQuery.mAccount,
    RequestTokens(
      limits.mAllowances, aQuery.mAccount, request, TermsOf(aContext, *limit)));
}

void
ReceiveShares(Context& aContext, const SharesReported& aReport)
{
  RateLimitState& limits = aContext.mState.mRateLimits;
  if (!limits.mIsShareQueryPending ||
      aReport.mNumber != limits.mLastShareQuery) {
    return;
  }
  limits.mIsShareQueryPending = false;
  ApplyShares(
    limits.mAllowances, aReport.mReport, limits.mSharesAskedAt, aContext.mNow);
}

void
ReceiveTokens(Context& aContext, const TokensReported& aReport)
{
  // Without a limit nothing would wait any longer.
  const auto limit = LimitOf(aContext, aReport.mAccount);
  if (limit) {
    CarryOut(aContext,
             aReport.mAccount,
             HandleTokens(aContext.mState.mRateLimits.mAllowances,
                          aReport.mAccount,
                          aReport.mGiven,
                          TermsOf(aContext, *limit)));
  }
}

}

void
ApplyLimits(Context& aContext, const RoutingVersion& aVersion)
{
  auto& accounts = aContext.mState.mRateLimits.mAccounts;
  accounts.clear();
  if (!aVersion.mAccountRules) {
    return;
  }
  for (const ClientAccount& account : aVersion.mAccountRules->mAccounts) {
    if (account.mRatePerSecond > 0 || account.mBurst > 0) {
      const RateLimit limit{ static_cast<double>(account.mRatePerSecond),
                             static_cast<double>(account.mBurst) };
      accounts[IdOf<AccountId>(account.mName)] = { account.mName, limit };
    }
  }
}

bool
RequestAllowance(Context& aContext, Session& aSession)
{
  if (!aSession.mAccount || aSession.mTransaction.mIsAllowed) {
    return true;
  }
  const auto limit = LimitOf(aContext, aSession.mAccount);
  if (!limit) {
    return true;
  }
  EnsureSharesExchanged(aContext);
  RateLimitState& limits = aContext.mState.mRateLimits;
  TokenRequest request;
  request.mId = ++aContext.mState.mLastId;
  request.mDeadline = aContext.mNow + kTokenTimeout;
  aSession.mActive->mTokenRequest = request.mId;
  aSession.mActive->mStage = StatementStage::AwaitingToken;
  AllowanceOutcome outcome = RequestTokens(
    limits.mAllowances, aSession.mAccount, request, TermsOf(aContext, *limit));
  if (outcome.mDecisions.empty()) {
    limits.mSessions.emplace(request.mId, aSession.mId);
    CarryOut(aContext, aSession.mAccount, outcome);
    return false;
  }
  const TokenDecision& decision = outcome.mDecisions.front();
  if (decision.mIsComplete) {
    NoteAllowed(aContext, aSession);
  } else {
    RefuseOperation(aContext, aSession, decision.mRetryAfter);
  }
  return decision.mIsComplete;
}

void
HandleRateLimitQuery(Context& aContext, const RateLimitQueryReceived& aEvent)
{
  if (const auto* const shares = std::get_if<SharesQueried>(&aEvent.mQuery)) {
    AnswerShareQuery(aContext, aEvent.mLink, *shares);
  } else if (const auto* const tokens =
               std::get_if<TokensQueried>(&aEvent.mQuery)) {
    ReceiveTokenQuery(aContext, aEvent.mLink, *tokens);
  }
}

void
HandleRateLimitReport(Context& aContext, const RateLimitReportReceived& aEvent)
{
  if (const auto* const shares = std::get_if<SharesReported>(&aEvent.mReport)) {
    ReceiveShares(aContext, *shares);
  } else if (const auto* const tokens =
               std::get_if<TokensReported>(&aEvent.mReport)) {
    ReceiveTokens(aContext, *tokens);
  }
}

void
ExchangeShares(Context& aContext)
{
  EnsureSharesExchanged(aContext);
  if (HoldsPromoterLease(aContext)) {
    GrantOwnShares(aContext);
  } else if (IsSpender(aContext)) {
    QueryShares(aContext);
  }
}

void
ExpireTokenRequests(Context& aContext, AccountId aAccount)
{
  // An account whose limit was removed has its waiting operations refused.
  const RateLimit limit = LimitOf(aContext, aAccount).value_or(RateLimit{});
  CarryOut(aContext,
           aAccount,
           ExpireRequests(aContext.mState.mRateLimits.mAllowances,
                          aAccount,
                          TermsOf(aContext, limit)));
}

void
NoteOwnEntryWritten(Context& aContext)
{
  aContext.mState.mRateLimits.mListedSince = aContext.mNow;
}

void
NoteHosts(Context& aContext, const TableAnswer& aAnswer)
{
  State& state = aContext.mState;
  for (const RowChange<HostEntry>& change : aAnswer.mHosts) {
    if (change.mEntry && IsOfEarlierProcess(aContext, *change.mEntry)) {
      state.mRateLimits.mHadPlaceBefore = true;
    }
  }
  const auto& hosts = state.mCatalogue.mHosts;
  state.mRateLimits.mIsFirst =
    std::none_of(hosts.begin(), hosts.end(), [&](const auto& aEntry) {
      return PrecedesInDataCentre(aContext, aEntry.second);
    });
}

}
