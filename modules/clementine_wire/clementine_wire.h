/// The messages that nodes exchange over TCP, and their encoding.
///
/// Depends on clementine_core.
#ifndef CLEMENTINE_WIRE_H
#define CLEMENTINE_WIRE_H

#include "clementine_wire/codec/message_codec.h"
#include "clementine_wire/links/node_link.h"
#include "clementine_wire/messages/messages.h"

#endif
