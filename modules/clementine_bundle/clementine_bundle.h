/// The operators' configuration bundle: the owner, importance and limits of
/// each caller.
///
/// A bundle is written as INI text, validated as a whole, and queried for each
/// request. docs/BUNDLE.md describes the text format.
///
/// Each version is signed by an owner and replicated between nodes as deltas.
///
/// The platform stores the accepted versions.
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
