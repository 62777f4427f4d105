#include "Group/RetiredTerms.h"

#include <algorithm>

#include "Group/Promoter.h"

namespace camphorstep::gateway {

Term
RetiredTermOf(const Context& aContext, const Group& aGroup)
{
  const Term* const term =
    Find(aContext.mState.mCatalogue.mRetiredTerms, aGroup.mId);
  return term == nullptr ? 0 : *term;
}

bool
IsTermRetired(const Context& aContext, const Group& aGroup)
{
  return aGroup.mTerm != 0 && aGroup.mTerm <= RetiredTermOf(aContext, aGroup);
}

void
NoteRetiredTerm(Context& aContext, const std::string& aGroup, Term aTerm)
{
  if (aTerm == 0) {
    return;
  }
  const auto id = IdOf<GroupId>(aGroup);
  Term& known = aContext.mState.mCatalogue.mRetiredTerms[id];
  if (aTerm <= known) {
    return;
  }
  known = aTerm;
  const Group* const group = Find(aContext.mState.mGroups, id);
  Log(aContext,
      LogSeverity::Info,
      "a term is retired",
      { { "group", aGroup },
        { "retired_term", std::to_string(aTerm) },
        { "term", std::to_string(group == nullptr ? 0 : group->mTerm) } });
}

void
RetireTerm(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  takeover.mRetiredTerm =
    std::max({ takeover.mRetiredTerm, takeover.mOldTerm, aGroup.mTerm });
  takeover.mRetiredAt.reset();
  NoteRetirement(aContext, aGroup);
  MaintainPromoterLease(aContext);
}

void
NoteRetirement(Context& aContext, Group& aGroup)
{
  Takeover& takeover = aGroup.mTakeover;
  const GroupRecord* const stored =
    Find(aContext.mState.mPromoter.mStoredRecords, aGroup.mName);
  if (stored == nullptr || stored->mRetiredTerm < takeover.mRetiredTerm) {
    takeover.mRetiredAt.reset();
  } else if (takeover.mRetiredTerm != 0 && !takeover.mRetiredAt) {
    takeover.mRetiredAt = aContext.mNow;
  }
}

}
