#ifndef CONF_H
#define CONF_H

#include "arn.h"
#include "idx.h"
#include "str.h"

/*
 * Configuration in force at an edge VM: routes by host and path prefix,
 * services and limits on callers' input. It is built by an adapter, sealed,
 * and never changed afterwards; a new version replaces it whole.
 */
enum conf_request_kind {
	/* May run more than once. */
	CONF_SAFE,
	/* Runs at most once. */
	CONF_UNSAFE,
	/* As unsafe, with a large body. */
	CONF_UPLOAD,
};

/* "safe", "unsafe" or "upload". */
const char *conf_request_kind_name(enum conf_request_kind kind);

/* One destination of a route; a route without a split has one. */
struct conf_dest {
	uint64_t service;
	uint32_t weight;
};

struct conf_route {
	struct str name;
	struct str host;
	/* Begins and ends with a slash. */
	struct str prefix;
	enum conf_request_kind kind;
	uint32_t first_dest;
	uint32_t dest_count;
	/* Longest time a caller is kept waiting; 0 for none. */
	int64_t timeout_ns;
	/* Time within which an answer has its full worth; 0 for none. */
	int64_t objective_ns;
	/* Most backend servers that one request is sent to. */
	uint32_t attempts;
	/* 0 is the most urgent. */
	uint32_t priority;
};

struct conf_service {
	struct str name;
	uint64_t key;
	struct str health_path;
	/* Connections that a backend server accepts from all VMs together. */
	uint32_t max_conns;
};

struct conf_limits {
	uint64_t max_head_bytes;
	uint64_t max_body_bytes;
	int64_t head_timeout_ns;
	int64_t idle_timeout_ns;
};

struct conf {
	struct arn arena;
	uint64_t version;
	struct conf_limits limits;
	struct conf_route *routes;
	uint32_t route_count, route_cap;
	struct conf_dest *dests;
	uint32_t dest_count, dest_cap;
	struct conf_service *services;
	uint32_t service_count, service_cap;
	/* Route row + 1 by host and prefix. */
	struct idx by_host_prefix;
};

struct conf *conf_new(void);
void conf_free(struct conf *c);
/* Stable key of a service name; never 0. */
uint64_t conf_service_key(struct str name);
/* Adds a service; strings are copied. */
void conf_add_service(struct conf *c, const struct conf_service *service);
/* Adds a route with its dests; strings are copied. */
void conf_add_route(struct conf *c, const struct conf_route *route,
		    const struct conf_dest *dests, uint32_t dest_count);
/*
 * Route of the host with the longest prefix that begins the path; NULL when
 * none matches. The host may carry a port, the path a query.
 */
const struct conf_route *conf_match_route(const struct conf *c, struct str host,
					  struct str path);
/* Destination of a request by weight; random is uniform over 64 bits. */
uint64_t conf_pick_service(const struct conf *c, const struct conf_route *r,
			   uint64_t random);

#endif
