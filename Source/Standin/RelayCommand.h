#pragma once

namespace camphorstep {

/// Runs the subcommand "relay": a stand-in for a link.
int RunRelay(int aCount, char** aArguments);

}
