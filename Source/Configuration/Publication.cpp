#include "Configuration/Publication.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "Common/Hash.h"
#include "Configuration/OperatorAnswers.h"
#include "Configuration/ProfileDiff.h"
#include "Configuration/Rows.h"
#include "Model/Profile.h"
#include "Reducer/Context.h"
#include "Reducer/State.h"

namespace camphorstep {

namespace {

constexpr Duration kPublicationTimeout = std::chrono::seconds(10);
constexpr std::size_t kMaxChangeIdLength = 64;
constexpr std::size_t kMaxTextBytes = 512 * 1'024;

bool
IsChangeId(const std::string& aText)
{
  return !aText.empty() && aText.size() <= kMaxChangeIdLength &&
         std::all_of(aText.begin(), aText.end(), [](char aChar) {
           return (aChar >= 'a' && aChar <= 'z') ||
                  (aChar >= '0' && aChar <= '9') || aChar == '-';
         });
}

/// Returns why a publication is invalid; empty if it is valid.
std::string
FindValidationError(const PublishProfiles& aAction)
{
  if (!IsChangeId(aAction.mChangeId)) {
    return "the change identifier must have 1 to 64 of the characters a-z, "
           "0-9 and -";
  }
  if (aAction.mReason.empty()) {
    return "the reason is missing";
  }
  if (aAction.mText.size() > kMaxTextBytes) {
    return "the profiles are larger than " + std::to_string(kMaxTextBytes) +
           " bytes";
  }
  try {
    const Configuration configuration =
      ParseConfiguration(ParseIni(aAction.mText, "profiles"), 1);
    return configuration.mServices.empty()
             ? "the profiles define no service, so no caller could be served"
             : "";
  } catch (const std::exception& ex) {
    return ex.what();
  }
}

/// Ends a publication with an answer.
void
EndPublication(Context& aContext, OperatorCallId aCall, OperatorAnswer aAnswer)
{
  aContext.mState.mConfiguration.mPublications.erase(aCall);
  AnswerTo(aContext, aCall, std::move(aAnswer));
}

void
EndAccepted(Context& aContext, OperatorCallId aCall)
{
  ConfigurationRecord record =
    aContext.mState.mConfiguration.mPublications.at(aCall).mRecord;
  Install(aContext, record);
  OperatorAnswer answer;
  answer.mMessage = "accepted as version " + std::to_string(record.mVersion);
  answer.mRecord = std::move(record);
  EndPublication(aContext, aCall, std::move(answer));
}

/// Ends a publication whose change identifier is already in the store:
/// accepted, replayed, or refused if the identifier belongs to another change.
void
EndAlreadyStored(Context& aContext,
                 OperatorCallId aCall,
                 const StoreRow& aChange)
{
  const ConfigurationRecord& record =
    aContext.mState.mConfiguration.mPublications.at(aCall).mRecord;
  const ChangeEntry entry =
    DecodeChange(aChange.mValue).value_or(ChangeEntry{});
  const bool isSameChange = entry.mDigest == EntryOf(record).mDigest;
  if (isSameChange && entry.mVersion == record.mVersion) {
    EndAccepted(aContext, aCall);
    return;
  }
  OperatorAnswer answer;
  answer.mCode = isSameChange ? ResultCode::Replayed : ResultCode::InvalidField;
  answer.mOutcome = isSameChange ? Outcome::Done : Outcome::NotRun;
  answer.mMessage =
    isSameChange
      ? "accepted earlier as version " + std::to_string(entry.mVersion)
      : "the change identifier is already used for another change, version " +
          std::to_string(entry.mVersion);
  answer.mRecord = record;
  answer.mRecord->mVersion = entry.mVersion;
  EndPublication(aContext, aCall, std::move(answer));
}

void
EndConflict(Context& aContext,
            OperatorCallId aCall,
            const StoreRow* aWinner,
            std::uint64_t aVersion)
{
  OperatorAnswer answer;
  answer.mCode = ResultCode::VersionConflict;
  answer.mOutcome = Outcome::NotRun;
  if (aWinner != nullptr) {
    answer.mRecord = DecodeRecord(aWinner->mValue);
  }
  const std::string author =
    answer.mRecord ? "'" + answer.mRecord->mAuthor + "'" : "another operator";
  answer.mMessage = "not published: " + author + " published version " +
                    std::to_string(aVersion) + " first";
  EndPublication(aContext, aCall, std::move(answer));
}

void
ScheduleNextTry(Context& aContext,
                OperatorCallId aCall,
                Publication& aPublication)
{
  ++aPublication.mFailures;
  aPublication.mStage = PublicationStage::Waiting;
  aPublication.mNextTry =
    aContext.mNow +
    BackoffAfter(aPublication.mFailures,
                 HashPair(aContext.mState.mIncarnation,
                          aCall.mValue + aPublication.mFailures));
}

void
ReadHead(Context& aContext, OperatorCallId aCall, Publication& aPublication)
{
  const std::optional<StoreCallId> call =
    BeginStoreCall(aContext, StorePurpose::Publish, aCall);
  if (!call) {
    ScheduleNextTry(aContext, aCall, aPublication);
    return;
  }
  aPublication.mStage = PublicationStage::ReadingHead;
  StoreQuery query;
  query.mKeys = { kHeadKey,
                  ChangeKey(aPublication.mRecord.mChangeId),
                  VersionKey(aPublication.mRecord.mVersion - 1) };
  Emit(aContext, StoreRead{ *call, std::move(query) });
}

StoreTransaction
MakeTransaction(const Publication& aPublication)
{
  const ConfigurationRecord& record = aPublication.mRecord;
  StoreTransaction transaction;
  transaction.mWrites = {
    { kHeadKey, record.mVersion - 1, record.mChangeId },
    { VersionKey(record.mVersion), 0, EncodeRow(record) },
    { ChangeKey(record.mChangeId), 0, EncodeRow(EntryOf(record)) },
    { AuditKey(record.mPublishedAt, record.mChangeId),
      0,
      EncodeRow(aPublication.mAudit) }
  };
  return transaction;
}

void
WriteVersion(Context& aContext, OperatorCallId aCall, Publication& aPublication)
{
  const std::optional<StoreCallId> call =
    BeginStoreCall(aContext, StorePurpose::Publish, aCall);
  if (!call) {
    ScheduleNextTry(aContext, aCall, aPublication);
    return;
  }
  aPublication.mStage = PublicationStage::Writing;
  aPublication.mMayBeAccepted = true;
  Emit(aContext, StoreWrite{ *call, MakeTransaction(aPublication) });
}

void
ReadOutcome(Context& aContext, OperatorCallId aCall, Publication& aPublication)
{
  const std::optional<StoreCallId> call =
    BeginStoreCall(aContext, StorePurpose::Publish, aCall);
  if (!call) {
    ScheduleNextTry(aContext, aCall, aPublication);
    return;
  }
  aPublication.mStage = PublicationStage::ReadingOutcome;
  StoreQuery query;
  query.mKeys = { ChangeKey(aPublication.mRecord.mChangeId),
                  VersionKey(aPublication.mRecord.mVersion) };
  Emit(aContext, StoreRead{ *call, std::move(query) });
}

/// The sections that differ from the version that the text is based on.
std::vector<std::string>
SectionsChanged(const ConfigurationRecord& aRecord, const StoreRow* aBase)
{
  const std::optional<ConfigurationRecord> base =
    aBase == nullptr ? std::nullopt : DecodeRecord(aBase->mValue);
  return ChangedSections(DiffProfiles(ParseIni(base ? base->mText : "", "base"),
                                      ParseIni(aRecord.mText, "new")));
}

void
HandleHead(Context& aContext,
           OperatorCallId aCall,
           Publication& aPublication,
           const std::vector<StoreRow>& aRows)
{
  ConfigurationRecord& record = aPublication.mRecord;
  if (const StoreRow* const change =
        FindRow(aRows, ChangeKey(record.mChangeId))) {
    EndAlreadyStored(aContext, aCall, *change);
    return;
  }
  const StoreRow* const head = FindRow(aRows, kHeadKey);
  const std::uint64_t version = head == nullptr ? 0 : head->mVersion;
  const std::uint64_t base = record.mVersion - 1;
  if (version > base) {
    ReadOutcome(aContext, aCall, aPublication);
    return;
  }
  if (version < base) {
    OperatorAnswer answer;
    answer.mCode = ResultCode::InvalidField;
    answer.mOutcome = Outcome::NotRun;
    answer.mMessage = "there is no version " + std::to_string(base);
    EndPublication(aContext, aCall, std::move(answer));
    return;
  }
  aPublication.mAudit.mSections =
    SectionsChanged(record, FindRow(aRows, VersionKey(base)));
  WriteVersion(aContext, aCall, aPublication);
}

void
HandleOutcome(Context& aContext,
              OperatorCallId aCall,
              const Publication& aPublication,
              const std::vector<StoreRow>& aRows)
{
  const ConfigurationRecord& record = aPublication.mRecord;
  if (const StoreRow* const change =
        FindRow(aRows, ChangeKey(record.mChangeId))) {
    EndAlreadyStored(aContext, aCall, *change);
    return;
  }
  EndConflict(aContext,
              aCall,
              FindRow(aRows, VersionKey(record.mVersion)),
              record.mVersion);
}

/// Ends a publication at its deadline.
void
EndExpired(Context& aContext,
           OperatorCallId aCall,
           const Publication& aPublication)
{
  OperatorAnswer answer;
  answer.mCode = ResultCode::StoreUnavailable;
  answer.mOutcome =
    aPublication.mMayBeAccepted ? Outcome::Unknown : Outcome::NotRun;
  answer.mMessage =
    aPublication.mMayBeAccepted
      ? "the store did not confirm whether it accepted the change; repeat the "
        "command with --change-id " +
          aPublication.mRecord.mChangeId
      : "not published: the store does not answer";
  EndPublication(aContext, aCall, std::move(answer));
}

}

void
BeginPublication(Context& aContext, const OperatorRequest& aRequest)
{
  const auto& action = std::get<PublishProfiles>(aRequest.mAction);
  const std::string error = FindValidationError(action);
  if (!error.empty()) {
    OperatorAnswer answer;
    answer.mCode = ResultCode::InvalidProfile;
    answer.mOutcome = Outcome::NotRun;
    answer.mMessage = error;
    AnswerTo(aContext, aRequest.mCall, std::move(answer));
    return;
  }
  Publication publication;
  publication.mRecord = { action.mBaseVersion + 1, action.mChangeId,
                          aRequest.mOperator,      action.mReason,
                          aRequest.mTime,          action.mText };
  publication.mAudit =
    MakeAudit(aContext.mState, aRequest, "publish", action.mReason);
  publication.mAudit.mChangeId = action.mChangeId;
  publication.mAudit.mVersion = action.mBaseVersion + 1;
  publication.mDeadline = aContext.mNow + kPublicationTimeout;
  auto& publications = aContext.mState.mConfiguration.mPublications;
  const auto it =
    publications.emplace(aRequest.mCall, std::move(publication)).first;
  ReadHead(aContext, aRequest.mCall, it->second);
}

void
ContinuePublication(Context& aContext,
                    OperatorCallId aCall,
                    StoreStatus aStatus,
                    const std::vector<StoreRow>& aRows)
{
  auto& publications = aContext.mState.mConfiguration.mPublications;
  const auto it = publications.find(aCall);
  if (it == publications.end()) {
    return;
  }
  Publication& publication = it->second;
  if (aStatus == StoreStatus::Unknown) {
    ScheduleNextTry(aContext, aCall, publication);
    return;
  }
  switch (publication.mStage) {
    case PublicationStage::ReadingHead:
      HandleHead(aContext, aCall, publication, aRows);
      return;
    case PublicationStage::Writing:
      if (aStatus == StoreStatus::Ok) {
        EndAccepted(aContext, aCall);
      } else {
        ReadHead(aContext, aCall, publication);
      }
      return;
    case PublicationStage::ReadingOutcome:
      HandleOutcome(aContext, aCall, publication, aRows);
      return;
    case PublicationStage::Waiting:
      return;
  }
}

void
TickPublications(Context& aContext)
{
  auto& publications = aContext.mState.mConfiguration.mPublications;
  std::vector<OperatorCallId> calls;
  for (const auto& [call, publication] : publications) {
    calls.push_back(call);
  }
  for (const OperatorCallId call : calls) {
    Publication& publication = publications.at(call);
    if (aContext.mNow >= publication.mDeadline) {
      EndExpired(aContext, call, publication);
    } else if (publication.mStage == PublicationStage::Waiting &&
               aContext.mNow >= publication.mNextTry) {
      ReadHead(aContext, call, publication);
    }
  }
}

}
