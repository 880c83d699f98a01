#ifndef CLEMENTINE_LOAD_RUN_EXPERIMENT_H
#define CLEMENTINE_LOAD_RUN_EXPERIMENT_H

#include "clementine_load/measure/measurement.h"
#include "clementine_load/run/running_deployment.h"

namespace clementine::load {

/// The raw results of an experiment.
struct experiment_result {
  instant Begin;
  std::vector<request_record> Requests;
};

/// Runs a scenario's load and faults against a running deployment.
experiment_result runExperiment(const deployment &Deployment,
                                const scenario &Scenario,
                                running_deployment &Running);

} // namespace clementine::load

#endif
