#pragma once

#include <chrono>
#include <cstddef>

namespace camphorstep {

/// Bytes that may wait to be sent on a connection that passes sessions on.
/// Beyond them the entry host sends no statements, and the owner ends the
/// connection, since the entry host does not read.
constexpr std::size_t kMaxUnsentRelayBytes = 16 * 1024 * 1024;
/// The other side of such a connection is given up when its machine has been
/// silent for this long. Servers drop the connections of a dead host after the
/// same time.
constexpr std::chrono::milliseconds kRelaySilenceLimit{ 3'000 };
/// An answer with more bytes of rows is sent in several frames.
constexpr std::size_t kMaxRelayRowBytes = 1024 * 1024;
/// The most bytes of rows that an answer may have. A session with a larger one
/// is ended, so that it does not hold up the others of its connection.
constexpr std::size_t kMaxRelayAnswerBytes = 8 * 1024 * 1024;
/// The most sessions that are taken over on one connection.
constexpr std::size_t kMaxSessionsPerRelayLink = 8'192;

}
