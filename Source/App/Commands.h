#pragma once

namespace camphorstep {

// Each subcommand takes the arguments from its own name on and returns the
// exit status of the process.

/// `camphorstep proxy`: runs the proxy until it is stopped.
int RunProxyCommand(int aCount, const char* const* aArguments);

/// `camphorstep check`: checks settings.
int RunCheckCommand(int aCount, const char* const* aArguments);

/// `camphorstep gateway`: runs the proxy on the users' platform.
int RunGatewayCommand(int aCount, const char* const* aArguments);

/// `camphorstep status`: shows what a host knows.
int RunStatusCommand(int aCount, const char* const* aArguments);

/// `camphorstep profile`: checks, compares, publishes and shows profiles.
int RunProfileCommand(int aCount, const char* const* aArguments);

/// `camphorstep audit`: shows the audit trail.
int RunAuditCommand(int aCount, const char* const* aArguments);

/// `camphorstep drain`: starts a planned stop of a host.
int RunDrainCommand(int aCount, const char* const* aArguments);

}
