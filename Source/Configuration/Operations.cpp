#include "Configuration/Operations.h"

#include <utility>

#include "Configuration/ConfigurationState.h"
#include "Configuration/Distribution.h"
#include "Configuration/OperatorAnswers.h"
#include "Configuration/Publication.h"
#include "Configuration/Rows.h"
#include "Keeper/SwitchOver.h"
#include "Membership/Stopping.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

/// Maximum number of audit records in one read of the store.
constexpr std::uint32_t kAuditPage = 200;

OperatorAnswer
MakeRefusal(ResultCode aCode, std::string aMessage)
{
  OperatorAnswer answer;
  answer.mCode = aCode;
  answer.mOutcome = Outcome::NotRun;
  answer.mMessage = std::move(aMessage);
  return answer;
}

void
AnswerRecorded(Context& aContext, OperatorCallId aCall, StoreStatus aStatus)
{
  OperatorAnswer answer;
  answer.mMessage = aStatus == StoreStatus::Ok
                      ? "begun"
                      : "begun; the store did not confirm the audit record, "
                        "which is in the host's log";
  AnswerTo(aContext, aCall, std::move(answer));
}

/// Starts a read of the store for an operator, or refuses the request if the
/// circuit breaker is open.
void
ReadForOperator(Context& aContext,
                const OperatorRequest& aRequest,
                StorePurpose aPurpose,
                StoreQuery aQuery)
{
  const auto call = BeginStoreCall(aContext, aPurpose, aRequest.mCall);
  if (!call) {
    AnswerTo(aContext,
             aRequest.mCall,
             MakeRefusal(ResultCode::StoreUnavailable,
                         "the store does not answer at the moment"));
    return;
  }
  aContext.mState.mConfiguration.mOperatorRequests.emplace(aRequest.mCall,
                                                           aRequest);
  Emit(aContext, StoreRead{ *call, std::move(aQuery) });
}

/// Logs and stores the audit record of an action that has begun. The operator
/// is answered once the store has replied.
void
RecordAction(Context& aContext,
             const OperatorRequest& aRequest,
             const std::string& aAction,
             const std::string& aReason)
{
  const AuditRecord record =
    MakeAudit(aContext.mState, aRequest, aAction, aReason);
  LogRecord(aContext,
            LogSeverity::Info,
            "an operator acts on this host",
            { { "author", record.mAuthor },
              { "action", record.mAction },
              { "reason", record.mReason } });
  const auto call =
    BeginStoreCall(aContext, StorePurpose::WriteAudit, aRequest.mCall);
  if (!call) {
    AnswerRecorded(aContext, aRequest.mCall, StoreStatus::Unknown);
    return;
  }
  const std::string id =
    record.mAction + "-" + record.mHost + "-" + std::to_string(call->mValue);
  StoreTransaction transaction;
  transaction.mWrites = {
    { AuditKey(record.mTime, id), 0, EncodeRow(record) }
  };
  Emit(aContext, StoreWrite{ *call, std::move(transaction) });
}

/// Carries out the action of one request.
struct ActionHandler
{
  Context& mContext;
  const OperatorRequest& mRequest;

  void operator()(const PublishProfiles&) const
  {
    BeginPublication(mContext, mRequest);
  }

  void operator()(const ReadProfiles& aAction) const
  {
    const ConfigurationRecord& record = mContext.mState.mConfiguration.mRecord;
    const bool isCurrent =
      aAction.mVersion == 0 || aAction.mVersion == record.mVersion;
    if (!isCurrent) {
      StoreQuery query;
      query.mKeys = { VersionKey(aAction.mVersion) };
      ReadForOperator(
        mContext, mRequest, StorePurpose::ReadRecord, std::move(query));
      return;
    }
    OperatorAnswer answer;
    answer.mRecord = record;
    AnswerTo(mContext, mRequest.mCall, std::move(answer));
  }

  void operator()(const ReadAudit& aAction) const
  {
    StoreQuery query;
    query.mFrom =
      aAction.mCursor.empty() ? AuditKey(aAction.mFrom, "") : aAction.mCursor;
    query.mTo = AuditKey(aAction.mTo, "");
    query.mLimit = kAuditPage;
    ReadForOperator(
      mContext, mRequest, StorePurpose::ReadAudit, std::move(query));
  }

  void operator()(const DrainHost& aAction) const
  {
    BeginStop(mContext);
    RecordAction(mContext, mRequest, "drain", aAction.mReason);
  }

  void operator()(const ReplacePrimary& aAction) const
  {
    HandleServerLeaving(mContext,
                        ServerLeaving{ IdOf<ServerId>(aAction.mServer) });
    RecordAction(mContext, mRequest, "switch-over", "of " + aAction.mServer);
  }
};

bool
Matches(const AuditRecord& aRecord, const ReadAudit& aAction)
{
  if (!aAction.mAuthor.empty() && aRecord.mAuthor != aAction.mAuthor) {
    return false;
  }
  if (aAction.mProfile.empty()) {
    return true;
  }
  for (const std::string& section : aRecord.mSections) {
    if (section == aAction.mProfile ||
        section == "profile." + aAction.mProfile) {
      return true;
    }
  }
  return false;
}

OperatorAnswer
MakeAuditAnswer(const ReadAudit& aAction, const std::vector<StoreRow>& aRows)
{
  OperatorAnswer answer;
  for (const StoreRow& row : aRows) {
    const auto record = DecodeAudit(row.mValue);
    if (record && Matches(*record, aAction)) {
      answer.mAudit.push_back(*record);
    }
  }
  if (aRows.size() == kAuditPage) {
    // The least key that follows the last one in this page.
    answer.mCursor = aRows.back().mKey + '\x01';
  }
  return answer;
}

OperatorAnswer
MakeRecordAnswer(const ReadProfiles& aAction,
                 const std::vector<StoreRow>& aRows)
{
  const StoreRow* const row = FindRow(aRows, VersionKey(aAction.mVersion));
  if (row == nullptr) {
    return MakeRefusal(ResultCode::InvalidField,
                       "there is no version " +
                         std::to_string(aAction.mVersion));
  }
  OperatorAnswer answer;
  answer.mRecord = DecodeRecord(row->mValue);
  return answer;
}

void
AnswerRead(Context& aContext,
           const PendingStoreCall& aCall,
           const StoreAnswered& aEvent)
{
  auto& requests = aContext.mState.mConfiguration.mOperatorRequests;
  const auto it = requests.find(aCall.mOperatorCall);
  if (it == requests.end()) {
    return;
  }
  const OperatorRequest request = std::move(it->second);
  requests.erase(it);
  OperatorAnswer answer;
  if (aEvent.mStatus != StoreStatus::Ok) {
    answer = MakeRefusal(ResultCode::StoreUnavailable,
                         "the store did not answer in time");
  } else if (aCall.mPurpose == StorePurpose::ReadAudit) {
    answer =
      MakeAuditAnswer(std::get<ReadAudit>(request.mAction), aEvent.mRows);
  } else {
    answer =
      MakeRecordAnswer(std::get<ReadProfiles>(request.mAction), aEvent.mRows);
  }
  AnswerTo(aContext, request.mCall, std::move(answer));
}

}

void
HandleOperatorRequest(Context& aContext, const OperatorRequest& aRequest)
{
  std::visit(ActionHandler{ aContext, aRequest }, aRequest.mAction);
}

void
HandleStoreAnswered(Context& aContext, const StoreAnswered& aEvent)
{
  const auto call = EndStoreCall(aContext, aEvent.mCall, aEvent.mStatus);
  if (!call) {
    return;
  }
  switch (call->mPurpose) {
    case StorePurpose::PollVersion:
      HandleVersionPolled(aContext, aEvent.mStatus, aEvent.mRows);
      return;
    case StorePurpose::FetchVersion:
      HandleVersionFetched(aContext, aEvent.mStatus, aEvent.mRows);
      return;
    case StorePurpose::Publish:
      ContinuePublication(
        aContext, call->mOperatorCall, aEvent.mStatus, aEvent.mRows);
      return;
    case StorePurpose::ReadRecord:
    case StorePurpose::ReadAudit:
      AnswerRead(aContext, *call, aEvent);
      return;
    case StorePurpose::WriteAudit:
      AnswerRecorded(aContext, call->mOperatorCall, aEvent.mStatus);
      return;
    case StorePurpose::HostList:
      return;
  }
}

}
