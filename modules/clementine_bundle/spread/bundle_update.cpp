#include "clementine_bundle/spread/bundle_update.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace clementine {

namespace {

template <class Value> std::string encode(const Value &Plain) {
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive(Stream);
  // One serialize() serves both directions, so it can't be const.
  Value Copy = Plain;
  Archive(Copy);
  return std::move(Stream).str();
}

template <class Value>
result<Value, bundle_decode_error> decode(std::string_view Bytes) {
  if (Bytes.size() > MostUpdateBytes)
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

} // namespace

std::string encodeUpdate(const bundle_update &Update) { return encode(Update); }

std::string encodeHead(const bundle_head &Head) { return encode(Head); }

result<bundle_update, bundle_decode_error>
decodeUpdate(std::string_view Bytes) {
  return decode<bundle_update>(Bytes);
}

result<bundle_head, bundle_decode_error> decodeHead(std::string_view Bytes) {
  return decode<bundle_head>(Bytes);
}

} // namespace clementine
