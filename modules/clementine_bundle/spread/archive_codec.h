#ifndef CLEMENTINE_BUNDLE_SPREAD_ARCHIVE_CODEC_H
#define CLEMENTINE_BUNDLE_SPREAD_ARCHIVE_CODEC_H

#include "clementine_bundle/spread/bundle_update.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>
#include <string>
#include <string_view>

namespace clementine {

/// Encodes a value in cereal's portable binary form.
template <class Value> std::string encodeArchive(const Value &Plain) {
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive(Stream);
  // serialize() is also used for decoding, so it cannot be const.
  Value Copy = Plain;
  Archive(Copy);
  return std::move(Stream).str();
}

/// Decodes the output of encodeArchive(), from untrusted bytes.
template <class Value>
result<Value, bundle_decode_error> decodeArchive(std::string_view Bytes) {
  if (Bytes.size() > MaxUpdateBytes)
    return bundle_decode_error::TooLarge;
  std::istringstream Stream{std::string(Bytes)};
  Value Decoded;
  try {
    cereal::PortableBinaryInputArchive Archive(Stream);
    Archive(Decoded);
  } catch (const cereal::Exception &) {
    return bundle_decode_error::Malformed;
  }
  if (Stream.peek() != std::istringstream::traits_type::eof())
    return bundle_decode_error::TrailingBytes;
  return Decoded;
}

} // namespace clementine

#endif
