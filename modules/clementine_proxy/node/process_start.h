#ifndef CLEMENTINE_PROXY_NODE_PROCESS_START_H
#define CLEMENTINE_PROXY_NODE_PROCESS_START_H

#include <cstdint>

namespace clementine::proxy {

/// @returns a seed for the random source of this process, from the kernel:
/// std::random_device may use an instruction of the processor, which no tool
/// that repeats a run can repeat.
std::uint64_t randomSeed();

/// @returns the wall clock in milliseconds, which orders the processes of a
/// node by their start.
std::uint64_t wallMilliseconds();

} // namespace clementine::proxy

#endif
