#ifndef CLEMENTINE_TELEMETRY_SPANS_SPAN_TRANSPORT_H
#define CLEMENTINE_TELEMETRY_SPANS_SPAN_TRANSPORT_H

#include "clementine_core/errors/result.h"
#include "clementine_core/time/clock.h"

#include <cstdint>
#include <memory>
#include <string>

namespace clementine {

/// Why a batch of spans did not reach the collector.
enum class span_transport_fault : std::uint8_t {
  /// No connection, a timeout, or an incomplete response.
  Unreachable,
  /// The collector responded with a status other than 2xx.
  Refused,
};

/// The failure of one batch.
struct span_transport_failure {
  span_transport_fault Fault = span_transport_fault::Unreachable;
  /// The HTTP status; 0 without a response.
  long Status = 0;

  bool operator==(const span_transport_failure &) const = default;
};

/// Sends encoded batches to a collector. Used by one thread.
class span_transport {
public:
  virtual ~span_transport() = default;

  /// Sends one batch and waits for the response, within a bounded time.
  virtual result<void, span_transport_failure>
  post(const std::string &Body) = 0;
};

/// Posts batches to an OTLP collector over HTTP with libcurl, on one persistent
/// connection. Redirects are not followed, and response bodies are discarded.
class http_span_transport final : public span_transport {
public:
  /// @param Url the collector's URL, such as `http://127.0.0.1:4318/v1/traces`.
  /// @param Timeout the timeout of one request.
  http_span_transport(const std::string &Url, duration Timeout);
  ~http_span_transport() override;

  http_span_transport(const http_span_transport &) = delete;
  http_span_transport &operator=(const http_span_transport &) = delete;

  result<void, span_transport_failure> post(const std::string &Body) override;

private:
  struct handle;

  std::unique_ptr<handle> Handle;
};

} // namespace clementine

#endif
