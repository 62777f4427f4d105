#include "Model/Ids.h"

std::size_t
std::hash<camphorstep::RequestId>::operator()(
  const camphorstep::RequestId& aId) const noexcept
{
  return camphorstep::HashPair(aId.mIncarnation, aId.mSequence);
}
