/// The operators' bundle: who owns which caller, how important its work is,
/// and what it may cost the services.
///
/// A bundle is written as INI text, checked as a whole, and looked up for each
/// request. docs/BUNDLE.md describes the text.
///
/// Needs clementine_core.
#ifndef CLEMENTINE_BUNDLE_H
#define CLEMENTINE_BUNDLE_H

#include "clementine_bundle/format/bundle_error.h"
#include "clementine_bundle/format/bundle_keys.h"
#include "clementine_bundle/format/ini_document.h"
#include "clementine_bundle/model/bundle.h"
#include "clementine_bundle/model/operation_policy.h"
#include "clementine_bundle/model/sha256.h"

#endif
