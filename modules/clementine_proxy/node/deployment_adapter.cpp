#include "clementine_proxy/node/deployment_adapter.h"

namespace clementine::proxy {

std::string decode_error::text() const {
  switch (Kind) {
  case kind::Malformed:
    return "malformed";
  case kind::MissingField:
    return "missing field " + Field;
  case kind::BadValue:
    return "bad value of field " + Field;
  }
  return "unknown";
}

} // namespace clementine::proxy
