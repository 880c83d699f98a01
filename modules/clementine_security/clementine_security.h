/// Authentication between nodes: shared keys that can be rotated without
/// downtime, message tags, and protection against replayed messages.
///
/// Depends on clementine_core and OpenSSL's libcrypto.
#ifndef CLEMENTINE_SECURITY_H
#define CLEMENTINE_SECURITY_H

#include "clementine_security/keys/peer_key_ring.h"
#include "clementine_security/replay/replay_window.h"

#endif
