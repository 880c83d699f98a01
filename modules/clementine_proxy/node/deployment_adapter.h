#ifndef CLEMENTINE_PROXY_NODE_DEPLOYMENT_ADAPTER_H
#define CLEMENTINE_PROXY_NODE_DEPLOYMENT_ADAPTER_H

#include "clementine_platform/clementine_platform.h"
#include "clementine_proxy/http/header_names.h"
#include "clementine_proxy/http/messages.h"
#include "clementine_proxy/model/instance_record.h"
#include "clementine_proxy/model/routing_config.h"

#include <string>
#include <string_view>
#include <variant>

namespace clementine::proxy {

/// Why a text of the deployment could not be used.
struct decode_error {
  enum class kind : std::uint8_t {
    /// It is not in the format of the deployment.
    Malformed,
    /// A field is missing.
    MissingField,
    /// A field has another type, or a value that is not allowed.
    BadValue,
  };

  kind Kind = kind::Malformed;
  /// The field in question, if it is one.
  std::string Field;

  bool operator==(const decode_error &) const = default;

  /// @returns one line for logs.
  std::string text() const;
};

/// The word of an instance that it leaves.
struct instance_departure {
  std::string Instance;
  /// Its start in wall-clock milliseconds; 0 if it does not say.
  std::int64_t StartedAt = 0;

  bool operator==(const instance_departure &) const = default;
};

/// A call that is not among those that instances make.
struct unknown_call {
  bool operator==(const unknown_call &) const = default;
};

/// What an instance says to the node beside it.
using instance_call_content =
    std::variant<instance_report, instance_departure, unknown_call>;

/// Translates between a deployment's formats and the types of this module. It
/// holds names and formats and decides nothing.
class deployment_adapter {
public:
  virtual ~deployment_adapter() = default;

  /// @returns the key-value service of the deployment.
  virtual platform_store &store() = 0;
  /// @returns the key under which the operator keeps the configuration.
  virtual const std::string &configKey() const = 0;
  virtual result<routing_config, decode_error>
  decodeConfig(std::string_view Text) const = 0;
  virtual const header_names &headers() const = 0;
  /// Reads a call of the instance beside the node.
  virtual result<instance_call_content, decode_error>
  decodeInstanceCall(const request &Request) const = 0;
  /// @returns whether @p Request asks if the node takes work.
  virtual bool isReadinessProbe(const request &Request) const = 0;
};

} // namespace clementine::proxy

#endif
