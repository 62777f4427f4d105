#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "Common/StrongId.h"
#include "Common/Time.h"
#include "Model/ConfigurationRecord.h"
#include "Model/ResultCode.h"

namespace camphorstep {

/// One request of an operator on this host, unique within the process.
using OperatorCallId = StrongId<struct OperatorCallTag>;

/// Publishes profiles as the version after the one that they were made from.
struct PublishProfiles
{
  /// Chosen by the operator's tool. Repeating a publication with the same
  /// identifier gives its outcome and never publishes twice.
  std::string mChangeId;
  std::uint64_t mBaseVersion = 0;
  std::string mText;
  std::string mReason;
};

/// Asks for a version; zero means the one in force on this host.
struct ReadProfiles
{
  std::uint64_t mVersion = 0;
};

/// Asks for audit records from a time up to but not including another.
struct ReadAudit
{
  std::int64_t mFrom = 0;
  std::int64_t mTo = 0;
  /// Only records by this operator; empty for all.
  std::string mAuthor;
  /// Only records that changed this section or profile; empty for all.
  std::string mProfile;
  /// Continues after an earlier answer; empty for the beginning.
  std::string mCursor;
};

/// Starts a planned stop of this host.
struct DrainHost
{
  std::string mReason;
};

/// Has a primary that is to leave replaced.
struct ReplacePrimary
{
  std::string mServer;
};

using OperatorAction = std::
  variant<PublishProfiles, ReadProfiles, ReadAudit, DrainHost, ReplacePrimary>;

/// An authenticated request of an operator.
struct OperatorRequest
{
  OperatorCallId mCall;
  std::string mOperator;
  /// When it came, in microseconds since 1970, UTC.
  std::int64_t mTime = 0;
  OperatorAction mAction;
};

/// The answer to an operator.
struct OperatorAnswer
{
  OperatorCallId mCall;
  ResultCode mCode = ResultCode::Ok;
  Outcome mOutcome = Outcome::Done;
  std::string mMessage;
  std::optional<ConfigurationRecord> mRecord;
  std::vector<AuditRecord> mAudit;
  /// Where the next part of the audit trail begins; empty at its end.
  std::string mCursor;
};

}
