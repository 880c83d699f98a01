/// The platform's key-value service behind one interface: keys with revisions,
/// transactions with compares, leases and watches.
///
/// platform_store is the interface. etcd_platform_store implements it with the
/// published JSON/HTTP mapping of etcd v3, memory_platform_store in memory, for
/// tests and stand-ins.
///
/// Needs clementine_core, libcurl, OpenSSL and nlohmann json.
#ifndef CLEMENTINE_PLATFORM_H
#define CLEMENTINE_PLATFORM_H

#include "clementine_platform/etcd/base64.h"
#include "clementine_platform/etcd/etcd_decoder.h"
#include "clementine_platform/etcd/etcd_encoder.h"
#include "clementine_platform/etcd/etcd_messages.h"
#include "clementine_platform/etcd/etcd_platform_store.h"
#include "clementine_platform/etcd/http_channel.h"
#include "clementine_platform/memory/keyspace.h"
#include "clementine_platform/memory/memory_platform_store.h"
#include "clementine_platform/store/platform_error.h"
#include "clementine_platform/store/platform_store.h"
#include "clementine_platform/store/platform_types.h"

#endif
