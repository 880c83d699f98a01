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

/// Why a text in the deployment's format could not be decoded.
struct decode_error {
  enum class kind : std::uint8_t {
    /// The text does not have the deployment's format.
    Malformed,
    MissingField,
    /// A field has the wrong type, or a value that is not allowed.
    BadValue,
  };

  kind Kind = kind::Malformed;
  /// The field concerned; empty if the error is not about one field.
  std::string Field;

  bool operator==(const decode_error &) const = default;

  /// @returns one line for logs.
  std::string text() const;
};

/// The content of an instance's deregistration.
struct instance_departure {
  std::string Instance;
  /// When it started, in wall-clock milliseconds; 0 if not given.
  std::int64_t StartedAt = 0;

  bool operator==(const instance_departure &) const = default;
};

/// A call to a path that is not part of the instances' interface.
struct unknown_call {
  bool operator==(const unknown_call &) const = default;
};

/// The content of a call from the local instance to its node.
using instance_call_content =
    std::variant<instance_report, instance_departure, unknown_call>;

/// How a node responds to a call of the local instance.
enum class instance_call_verdict : std::uint8_t {
  /// It has taken effect.
  Confirmed,
  /// The report has no effect; the instance has to report again at once.
  ReportAgain,
  /// It does not concern this node.
  Foreign,
};

/// Translates between a deployment's formats and the types of this module.
/// Contains only names and formats, no decisions.
class deployment_adapter {
public:
  virtual ~deployment_adapter() = default;

  /// @returns the key-value service of the deployment.
  virtual platform_store &store() = 0;
  /// @returns the key under which the operator stores the configuration.
  virtual const std::string &configKey() const = 0;
  virtual result<routing_config, decode_error>
  decodeConfig(std::string_view Text) const = 0;
  virtual const header_names &headers() const = 0;
  /// Decodes a call of the local instance.
  virtual result<instance_call_content, decode_error>
  decodeInstanceCall(const request &Request) const = 0;
  /// @returns whether @p Request is a probe of the node's readiness.
  virtual bool isReadinessProbe(const request &Request) const = 0;
};

} // namespace clementine::proxy

#endif
