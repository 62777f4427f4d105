#pragma once

#include "Load/LoadSettings.h"

namespace camphorstep {

/// The scenario "publish": racing operators publish through all proxies while
/// a watcher reads which versions are in force; prints whether everything
/// that was reported holds.
void RunPublishing(const LoadSettings& aSettings);

}
