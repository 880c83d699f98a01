/// HTTP to callers and upstreams: a server based on ulfius and an upstream
/// client based on libcurl.
///
/// Needs clementine_core, clementine_wire and clementine_request.
#ifndef CLEMENTINE_HTTP_H
#define CLEMENTINE_HTTP_H

#include "clementine_http/client/upstream_client.h"
#include "clementine_http/server/http_server.h"

#endif
