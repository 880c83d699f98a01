#include "clementine_bundle/spread/bundle_update.h"

#include "clementine_bundle/spread/archive_codec.h"

namespace clementine {

std::string encodeUpdate(const bundle_update &Update) {
  return encodeArchive(Update);
}

std::string encodeHead(const bundle_head &Head) { return encodeArchive(Head); }

result<bundle_update, bundle_decode_error>
decodeUpdate(std::string_view Bytes) {
  return decodeArchive<bundle_update>(Bytes);
}

result<bundle_head, bundle_decode_error> decodeHead(std::string_view Bytes) {
  return decodeArchive<bundle_head>(Bytes);
}

} // namespace clementine
