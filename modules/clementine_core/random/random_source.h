#ifndef CLEMENTINE_CORE_RANDOM_RANDOM_SOURCE_H
#define CLEMENTINE_CORE_RANDOM_RANDOM_SOURCE_H

#include <cstdint>

namespace clementine {

/// A source of random numbers. Decision code receives it through the
/// constructor, so that a run can be repeated from its seed.
class random_source {
public:
  virtual ~random_source() = default;

  /// @returns 64 random bits.
  virtual std::uint64_t next() = 0;

  /// @returns a number in [0, @p Bound); 0 if @p Bound is 0.
  std::uint64_t below(std::uint64_t Bound) {
    return Bound == 0 ? 0 : next() % Bound;
  }

  /// @returns a number in [0, 1).
  double unit() {
    constexpr double TwoToThe53 = 9007199254740992.0;
    return static_cast<double>(next() >> 11U) / TwoToThe53;
  }
};

/// Mixes 64 bits so that similar inputs give uncorrelated outputs.
///
/// The finaliser of SplitMix64 (Steele, Lea, Flood: Fast Splittable
/// Pseudorandom Number Generators, 2014).
constexpr std::uint64_t mixBits(std::uint64_t Bits) {
  Bits = (Bits ^ (Bits >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Bits = (Bits ^ (Bits >> 27U)) * 0x94d049bb133111ebULL;
  return Bits ^ (Bits >> 31U);
}

/// The SplitMix64 generator: small, fast and repeatable, but not
/// cryptographically secure.
class seeded_random final : public random_source {
public:
  explicit seeded_random(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next() override {
    State += 0x9e3779b97f4a7c15ULL;
    return mixBits(State);
  }

private:
  std::uint64_t State;
};

} // namespace clementine

#endif
