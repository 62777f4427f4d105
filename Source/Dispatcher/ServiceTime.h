#pragma once

#include "Common/Time.h"
#include "Dispatcher/SchedulerState.h"

namespace camphorstep {

/// Adds a measured time to the smoothed one.
void AddSample(ServiceTime& aTime, Duration aSample);

/// The mean, or a default if nothing has been measured.
Duration ExpectedServiceTime(const ServiceTime& aTime);

/// Mean less two deviations, a time that few statements undercut. Zero if
/// nothing has been measured.
Duration LowServiceTime(const ServiceTime& aTime);

}
