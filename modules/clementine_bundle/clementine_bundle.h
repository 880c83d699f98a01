/// The operators' bundle: who owns which caller, how important its work is,
/// and what it may cost the services.
///
/// A bundle is written as INI text, checked as a whole, and looked up for each
/// request. docs/BUNDLE.md describes the text.
///
/// Versions of it are signed by an owner and spread from node to node as the
/// parts that changed.
///
/// The platform holds the accepted versions.
///
/// Needs clementine_core, clementine_wire and clementine_platform.
#ifndef CLEMENTINE_BUNDLE_H
#define CLEMENTINE_BUNDLE_H

#include "clementine_bundle/accept/accept_transaction.h"
#include "clementine_bundle/accept/accepted_record.h"
#include "clementine_bundle/accept/bundle_publisher.h"
#include "clementine_bundle/accept/bundle_reader.h"
#include "clementine_bundle/format/bundle_error.h"
#include "clementine_bundle/format/bundle_keys.h"
#include "clementine_bundle/format/bundle_source.h"
#include "clementine_bundle/model/bundle.h"
#include "clementine_bundle/model/operation_policy.h"
#include "clementine_bundle/model/sha256.h"
#include "clementine_bundle/signing/ed25519.h"
#include "clementine_bundle/signing/trusted_owners.h"
#include "clementine_bundle/spread/bundle_delta.h"
#include "clementine_bundle/spread/bundle_head.h"
#include "clementine_bundle/spread/bundle_replica.h"
#include "clementine_bundle/spread/bundle_update.h"
#include "clementine_bundle/spread/signed_bundle.h"
#include "clementine_bundle/spread/update_chain.h"

#endif
