#pragma once

#include <string>

#include "Common/Time.h"
#include "Load/Latency.h"
#include "Load/LoadSettings.h"
#include "Load/Stream.h"

namespace camphorstep {

/// Prints "name=value", with the prefix of the settings before the name.
void PrintFigure(const LoadSettings& aSettings,
                 const std::string& aName,
                 double aValue);

/// Prints "name_failed_CODE=count" for each result code of failed calls.
void PrintFailures(const LoadSettings& aSettings,
                   const std::string& aName,
                   const StreamFigures& aFigures);

double MillisecondsOf(Duration aDuration);

}
