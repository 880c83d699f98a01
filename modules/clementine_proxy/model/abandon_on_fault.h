#ifndef CLEMENTINE_PROXY_MODEL_ABANDON_ON_FAULT_H
#define CLEMENTINE_PROXY_MODEL_ABANDON_ON_FAULT_H

namespace clementine::proxy {

/// Calls @p Work. If it throws, calls @p Abandon, which ends the one thing that
/// the work belongs to, and passes the exception on: the runner of the event
/// loop logs and counts it, and the loop continues.
template <class Callback, class Cleanup>
void abandonOnFault(const Callback &Work, const Cleanup &Abandon) {
  try {
    Work();
  } catch (...) {
    Abandon();
    throw;
  }
}

} // namespace clementine::proxy

#endif
