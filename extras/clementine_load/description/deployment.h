#ifndef CLEMENTINE_LOAD_DESCRIPTION_DEPLOYMENT_H
#define CLEMENTINE_LOAD_DESCRIPTION_DEPLOYMENT_H

#include "clementine_core/errors/result.h"
#include "clementine_core/identity/identity.h"
#include "clementine_core/time/clock.h"
#include "clementine_load/description/description_error.h"
#include "clementine_settings/values/setting_values.h"

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace clementine::load {

/// An operation of a service.
struct operation_name {
  std::string Service;
  std::string Operation;

  /// @returns the form `SERVICE/OPERATION`.
  std::string text() const { return Service + "/" + Operation; }

  bool operator==(const operation_name &) const = default;
};

/// A service and the capacity of its instances.
struct service_description {
  std::string Name;
  std::uint64_t Instances = 1;
  std::uint64_t Slots = 1;
  std::uint64_t Connections = 1;
  duration ServiceTime{0};
  /// The standard deviation of the logarithm of the service time.
  fraction Spread;
  /// The sub-calls of each operation, in order.
  std::map<std::string, std::vector<operation_name>> Calls;
  /// The operations that may run at most once.
  std::set<std::string> NotRepeatable;
};

/// One VM: a node with its upstream.
struct instance_description {
  /// The service's name and a number, such as `kin-post-2`.
  std::string Name;
  std::size_t Service = 0;
  std::size_t DataCentre = 0;
  std::string Host;
};

/// A deployment's services and the placement of their instances.
struct deployment {
  std::string Name;
  std::vector<std::string> DataCentres;
  /// The lowest port of each VM; the other ports are fixed offsets from it.
  std::uint64_t BasePort = 18000;
  /// The path of the bundle's text, relative to the deployment's file.
  file_path Bundle;
  std::vector<service_description> Services;

  /// @returns the instances, assigned to the data centres in round-robin order.
  /// Each has its own loopback address: 127.0.DATA-CENTRE.NUMBER.
  std::vector<instance_description> instances() const;

  /// @returns the service of that name, or nullptr.
  const service_description *find(const std::string &Service) const;

  endpoint callEndpoint(const instance_description &Instance) const;
  endpoint peerEndpoint(const instance_description &Instance) const;
  endpoint gossipEndpoint(const instance_description &Instance) const;
  endpoint adminEndpoint(const instance_description &Instance) const;
  endpoint upstreamEndpoint(const instance_description &Instance) const;
  endpoint platformEndpoint() const;
};

/// Parses the text of a deployment's file: a section `[deployment]`, and a
/// section `[service_NUMBER]` for each service.
result<deployment, description_error> readDeployment(std::string_view Text);

/// The keys in a node's settings.
struct node_keys {
  /// The secret key shared by all nodes, as NAME:KEY.
  std::string PeerKey;
  /// The bundle owner's public key, as NAME:KEY.
  std::string TrustedKey;
};

/// @returns the settings file of the node of @p Instance.
std::string nodeSettings(const deployment &Deployment,
                         const instance_description &Instance,
                         const node_keys &Keys);

} // namespace clementine::load

#endif
