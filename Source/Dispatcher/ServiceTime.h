#pragma once

#include "Common/Time.h"
#include "Dispatcher/SchedulerState.h"

namespace camphorstep {

/// Adds a measured time to the smoothed one.
void Learn(ServiceTime& aTime, Duration aSample);

/// The mean, or a default if nothing has been measured.
Duration ExpectedOf(const ServiceTime& aTime);

/// Mean less two deviations, a time that few statements undercut. Zero if
/// nothing has been measured.
Duration FastestOf(const ServiceTime& aTime);

}
