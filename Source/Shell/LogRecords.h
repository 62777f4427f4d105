#pragma once

#include "Messages/Effect.h"

namespace camphorstep {

/// Writes a record of a core to the log.
void WriteRecord(const WriteLogRecord& aRecord);

}
