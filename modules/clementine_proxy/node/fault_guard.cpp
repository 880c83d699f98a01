#include "clementine_proxy/node/fault_guard.h"

namespace clementine::proxy {

void fault_guard::record(const std::string &Place, const std::string &Id,
                         const char *Reason) {
  Metrics
      .counterFor("clementine_faults_total",
                  "Exceptions that ended one request, message or run of a "
                  "task.",
                  {{"place", Place}})
      .add();
  Log.error("ended by an exception",
            {{"place", Place}, {"id", Id}, {"reason", Reason}});
}

} // namespace clementine::proxy
