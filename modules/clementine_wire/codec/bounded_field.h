#ifndef CLEMENTINE_WIRE_CODEC_BOUNDED_FIELD_H
#define CLEMENTINE_WIRE_CODEC_BOUNDED_FIELD_H

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace clementine {

/// A string field with a maximum length in bytes.
///
/// The string reader of cereal allocates the length that the sender claims
/// before it reads; this one refuses a length above the maximum first.
struct bounded_string {
  std::string &Text;
  std::uint32_t MaxLength;

  template <class Archive> void save(Archive &Out) const {
    const auto Length = static_cast<std::uint32_t>(Text.size());
    if (Length > MaxLength)
      throw cereal::Exception("string field exceeds its maximum length");
    Out(Length);
    Out(cereal::binary_data(Text.data(), Length));
  }

  template <class Archive> void load(Archive &In) {
    std::uint32_t Length = 0;
    In(Length);
    if (Length > MaxLength)
      throw cereal::Exception("string field exceeds its maximum length");
    Text.resize(Length);
    In(cereal::binary_data(Text.data(), Length));
  }
};

/// A list field with a maximum number of items.
template <class Item> struct bounded_list {
  std::vector<Item> &Items;
  std::uint32_t MaxCount;

  template <class Archive> void save(Archive &Out) const {
    const auto Count = static_cast<std::uint32_t>(Items.size());
    if (Count > MaxCount)
      throw cereal::Exception("list field exceeds its maximum count");
    Out(Count);
    for (Item &Each : Items)
      Out(Each);
  }

  template <class Archive> void load(Archive &In) {
    std::uint32_t Count = 0;
    In(Count);
    if (Count > MaxCount)
      throw cereal::Exception("list field exceeds its maximum count");
    Items.clear();
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      In(Items.emplace_back());
  }
};

} // namespace clementine

#endif
