/// Who is alive, warming, leaving or gone: SWIM gossip with Lifeguard's
/// extensions inside a data centre, and queries for the members of wanted
/// services in the other data centres.
///
/// Free of I/O and threads: datagrams and the time go in, datagrams come out.
/// Needs clementine_core, clementine_security and cereal.
#ifndef CLEMENTINE_MEMBERSHIP_H
#define CLEMENTINE_MEMBERSHIP_H

#include "clementine_membership/members/member_record.h"
#include "clementine_membership/members/member_view.h"
#include "clementine_membership/node/membership.h"
#include "clementine_membership/node/membership_settings.h"

#endif
