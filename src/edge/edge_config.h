#ifndef EDGE_CONFIG_H
#define EDGE_CONFIG_H

#include "arena.h"
#include "hash_index.h"
#include "counted_string.h"

/*
 * Configuration of an edge VM: routes by host and path prefix, services, and
 * limits on callers' requests. The platform adapter builds it; once in force it
 * is immutable, and a new version replaces it as a whole.
 */
enum conf_request_kind {
	/* Idempotent: may be retried on another server. */
	CONF_SAFE,
	/* Not idempotent: must be executed at most once. */
	CONF_UNSAFE,
	/* As CONF_UNSAFE, with a large body. */
	CONF_UPLOAD,
	/* As CONF_SAFE, with a large response. */
	CONF_DOWNLOAD,
	CONF_LAST_KIND = CONF_DOWNLOAD,
};

/* Returns "safe", "unsafe", "upload" or "download". */
const char *conf_request_kind_name(enum conf_request_kind kind);
/* True for an idempotent kind. */
bool conf_is_repeatable(enum conf_request_kind kind);

/* Bytes of the hash that stands for a key. */
#define CONF_KEY_HASH_BYTES 32

/* Bounds of what a configuration may hold, which VMs check also in what they
 * send to each other. */
#define CONF_MAX_NAME_BYTES 1024
#define CONF_MAX_TEAM_KEYS 1000

/* A team, with its limit over all VMs together. */
struct conf_team {
	struct str name;
	/* Hash of the name, never 0. */
	uint64_t key;
	/* 0 is the highest; goes before that of the route. */
	uint32_t priority;
	/* Requests per second; 0 for no limit. */
	uint32_t rate_per_s;
	uint32_t burst;
};

/* A key by which callers identify their team. */
struct conf_team_key {
	uint8_t hash[CONF_KEY_HASH_BYTES];
	/* Index of the team. */
	uint32_t team;
};

/* Destination of a route, with its weight; a route without a traffic split has
 * one destination. */
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
	/* Timeout of a request; 0 for none. */
	int64_t timeout_ns;
	/* Latency objective (SLO) of a response; 0 for none. */
	int64_t objective_ns;
	/* Maximum number of backend servers that one request is sent to. */
	uint32_t max_attempts;
	/* 0 is the highest. */
	uint32_t priority;
	/* Needs no key of a team. */
	bool is_public;
};

struct conf_service {
	struct str name;
	uint64_t key;
	/* Passed on to peers, but not used: there are no active checks. */
	struct str health_path;
	/* Limit on the connections of all VMs together to one backend server;
	 * passed on to peers, but not enforced. */
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
	/* Era of the store from which it was read; see store_era.h. */
	uint64_t era;
	struct conf_limits limits;
	struct conf_route *routes;
	uint32_t route_count, route_cap;
	/* Some prefix is not as path_normalize() writes it. */
	bool has_encoded_prefix;
	/* Destinations of all routes; see conf_route.first_dest. */
	struct conf_dest *dests;
	uint32_t dest_count, dest_cap;
	struct conf_service *services;
	uint32_t service_count, service_cap;
	/* Index of the route plus 1, by hash of host and prefix. */
	struct idx by_host_prefix;
	/* Callers need a key of a team, except on public routes. */
	bool has_teams;
	struct conf_team *teams;
	uint32_t team_count, team_cap;
	struct conf_team_key *team_keys;
	uint32_t team_key_count, team_key_cap;
	/* Index of the key plus 1, by the first bytes of its hash. */
	struct idx team_key_by_hash;
	/* Index of the team plus 1, by conf_team.key. */
	struct idx team_by_key;
};

struct conf *conf_new(void);
void conf_free(struct conf *c);
/* Key of a service: the hash of its name, never 0. */
uint64_t conf_service_key(struct str name);
/* Adds a service; copies the strings. */
void conf_add_service(struct conf *c, const struct conf_service *service);
/* Adds a route with its destinations; copies the strings. */
void conf_add_route(struct conf *c, const struct conf_route *route,
		    const struct conf_dest *dests, uint32_t dest_count);
/* Adds a team, which has no keys yet; copies the strings. Returns its index. */
uint32_t conf_add_team(struct conf *c, const struct conf_team *team);
/* Key of a hash in conf.team_key_by_hash: its first bytes; never 0. */
uint64_t conf_hash_prefix(const uint8_t hash[CONF_KEY_HASH_BYTES]);
/* Adds a key of a team by its hash. */
void conf_add_team_key(struct conf *c, const struct conf_team_key *key);
/* Team with that key; NULL for none. */
const struct conf_team *conf_find_team(const struct conf *c, uint64_t key);
/*
 * Returns the route of the host with the longest prefix of the path; NULL if
 * none matches. The host may include a port, and the path a query.
 */
const struct conf_route *conf_match_route(const struct conf *c, struct str host,
					  struct str path);
/* Picks a destination by weight; random is uniform over 64 bits. Returns the
 * key of its service, or 0 if the route has no destination. */
uint64_t conf_pick_service(const struct conf *c, const struct conf_route *r,
			   uint64_t random);

#endif
