#ifndef HEADER_NAMES_H
#define HEADER_NAMES_H

#include "http_request.h"
#include "counted_string.h"

/*
 * Names of the header fields that the platform's callers and backend servers
 * use. A field with an empty name is neither read nor sent.
 */
struct hdr_names {
	/* Identifies one attempt of a caller; responses of backend servers
	 * repeat it. */
	struct str request_id;
	/* Time left until the sender's deadline, in milliseconds. */
	struct str deadline_ms;
	/* Id of the only backend server that may execute the request; any other
	 * one responds with 421. */
	struct str expect_server;
	/* In a response: the backend server did not execute the request. */
	struct str not_run;
	/* In a response: signature of the backend server that generated it. */
	struct str response_signature;
	/* In a response: "1" if the backend server is leaving, so that it is to
	 * get no more requests. */
	struct str server_leaving;
	/* In a response of the store: its era; see store_era.h. */
	struct str store_era;
	/* In a request: key of the caller's team, as a bearer token. With teams
	 * in the configuration, it is not forwarded. */
	struct str authorization;
	/* In a request to a backend server: name of the caller's team. With
	 * teams in the configuration, callers' values are removed. */
	struct str team;
};

/* Names of currantpaddle's own protocol, for use without a platform. */
extern const struct hdr_names hdr_default_names;

/* True for a name to which the platform gives a meaning. */
bool hdr_is_known(const struct hdr_names *names, struct str name);
/* True for a field that identifies the caller's team. */
bool hdr_is_of_team(const struct hdr_names *names, struct str name);

/* Listeners of an edge process. */
enum edge_listener {
	EDGE_LISTENER_CALLERS,
	EDGE_LISTENER_READY,
	EDGE_LISTENER_DIRECTORY,
	EDGE_LISTENER_CONTROL,
};

/* Response to a request at a listener other than that for callers. */
struct edge_response {
	int status;
	const char *content_type;
	struct strbuf body;
};

#endif
