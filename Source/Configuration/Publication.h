#pragma once

#include <cstdint>

#include "Common/Time.h"
#include "Messages/OperatorMessage.h"
#include "Messages/StoreMessage.h"
#include "Model/ConfigurationRecord.h"

namespace camphorstep {

struct Context;

enum class PublicationStage : std::uint8_t
{
  /// Waits for the next try.
  Waiting,
  ReadingHead,
  Writing,
  /// The head has moved on; reads whether this change was accepted.
  ReadingOutcome
};

/// A publication in progress.
///
/// The record, the change identifier, the audit record and the head row are
/// written in one transaction that depends on the head's version, so it takes
/// effect at most once however often it is sent. After a lost answer the head
/// is read again: if it still has the old version, the transaction is sent
/// again. If the head has a newer version, no copy of the transaction can take
/// effect, so a read of the change identifier that starts after that shows
/// whether this publication was accepted.
struct Publication
{
  ConfigurationRecord mRecord;
  AuditRecord mAudit;
  PublicationStage mStage = PublicationStage::Waiting;
  Instant mDeadline{};
  Instant mNextTry{};
  std::uint32_t mFailures = 0;
  /// Set once a transaction has been sent: it may have been accepted even if
  /// its answer is lost.
  bool mMayBeAccepted = false;
};

/// Validates the profiles and starts to publish them, or refuses the request.
void BeginPublication(Context& aContext, const OperatorRequest& aRequest);

/// Handles the store's answer in the publication's current stage.
void ContinuePublication(Context& aContext,
                         OperatorCallId aCall,
                         StoreStatus aStatus,
                         const std::vector<StoreRow>& aRows);

/// Retries publications that are due and ends those past their deadline.
void TickPublications(Context& aContext);

}
