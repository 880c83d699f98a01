#ifndef CLEMENTINE_TESTS_STAND_IN_PEAK_MEMORY_H
#define CLEMENTINE_TESTS_STAND_IN_PEAK_MEMORY_H

#include <cstddef>
#include <fstream>
#include <string>

/// @returns the most memory that this process has had, in bytes; 0 if the
/// system does not say.
inline std::size_t peakMemory() {
  std::ifstream Status("/proc/self/status");
  std::string Word;
  while (Status >> Word && Word != "VmHWM:") {
  }
  std::size_t Kilobytes = 0;
  Status >> Kilobytes;
  return Kilobytes * 1024;
}

/// Makes the memory in use the most that this process has had.
/// @returns that memory, in bytes.
inline std::size_t resetPeakMemory() {
  std::ofstream("/proc/self/clear_refs") << "5";
  return peakMemory();
}

#endif
