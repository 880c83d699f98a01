/// Cluster membership and failure detection: SWIM gossip with Lifeguard's
/// extensions inside a data centre, and queries for the members of watched
/// services in the other data centres.
///
/// Performs no I/O and starts no threads: the caller passes in datagrams and
/// the current time, and sends the datagrams that are returned. Needs
/// clementine_core, clementine_security and cereal.
#ifndef CLEMENTINE_MEMBERSHIP_H
#define CLEMENTINE_MEMBERSHIP_H

#include "clementine_membership/members/member_record.h"
#include "clementine_membership/members/member_view.h"
#include "clementine_membership/node/membership.h"
#include "clementine_membership/node/membership_settings.h"

#endif
