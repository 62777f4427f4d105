#pragma once

#include <cstddef>

#include "Common/Time.h"

namespace camphorstep::gateway {

using namespace std::chrono_literals;

/// An owner that has not opened a session after this time is passed over, and
/// the session runs on its entry host. Within a data centre it takes a few
/// milliseconds.
constexpr Duration kRelayOpenTimeout = 150ms;
/// Beyond the time limit of a statement, for the way to the owner and back.
constexpr Duration kRelayAnswerMargin = 250ms;
/// How long an owner that failed is passed over, the first time and at most.
constexpr Duration kInitialOwnerBackoff = 2s;
constexpr Duration kMaxOwnerBackoff = 16s;
/// The most sessions that a host passes on to one owner; it runs others itself.
constexpr std::size_t kMaxRelayedSessions = 8'192;

}
