#pragma once

#include <netinet/in.h>

#include "Model/Topology.h"
#include "Standin/FileDescriptor.h"

namespace camphorstep {

/// The operating system's form of an address; throws if it is not an IPv4
/// address.
sockaddr_in ToSocketAddress(const Address& aAddress);

/// Opens a TCP listener that does not block; throws std::system_error.
FileDescriptor ListenTcp(const Address& aAddress);

/// Opens a UDP socket that does not block; throws std::system_error.
FileDescriptor BindUdp(const Address& aAddress);

/// Takes the next waiting connection; not open if there is none.
FileDescriptor AcceptTcp(int aListener);

/// Starts to connect a TCP socket without blocking; not open on failure.
FileDescriptor StartConnect(const Address& aTarget);

/// A UDP socket that talks to one target only.
FileDescriptor ConnectUdp(const Address& aTarget);

/// Makes the next close reset the connection instead of ending it in order.
void ResetOnClose(int aSocket);

}
