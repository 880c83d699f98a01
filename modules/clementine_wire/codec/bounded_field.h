#ifndef CLEMENTINE_WIRE_CODEC_BOUNDED_FIELD_H
#define CLEMENTINE_WIRE_CODEC_BOUNDED_FIELD_H

#include <cereal/cereal.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace clementine {

/// A string field with a cap.
///
/// The library's own string reader reserves what the sender claims before it
/// reads; this one refuses a length above the cap first.
struct bounded_string {
  std::string &Text;
  std::uint32_t Cap;

  template <class Archive> void save(Archive &Out) const {
    const auto Length = static_cast<std::uint32_t>(Text.size());
    if (Length > Cap)
      throw cereal::Exception("field above its cap");
    Out(Length);
    Out(cereal::binary_data(Text.data(), Length));
  }

  template <class Archive> void load(Archive &In) {
    std::uint32_t Length = 0;
    In(Length);
    if (Length > Cap)
      throw cereal::Exception("field above its cap");
    Text.resize(Length);
    In(cereal::binary_data(Text.data(), Length));
  }
};

/// A list field with a cap on its count.
template <class Item> struct bounded_list {
  std::vector<Item> &Items;
  std::uint32_t Cap;

  template <class Archive> void save(Archive &Out) const {
    const auto Count = static_cast<std::uint32_t>(Items.size());
    if (Count > Cap)
      throw cereal::Exception("list above its cap");
    Out(Count);
    for (Item &Each : Items)
      Out(Each);
  }

  template <class Archive> void load(Archive &In) {
    std::uint32_t Count = 0;
    In(Count);
    if (Count > Cap)
      throw cereal::Exception("list above its cap");
    Items.clear();
    for (std::uint32_t Index = 0; Index < Count; ++Index)
      In(Items.emplace_back());
  }
};

} // namespace clementine

#endif
