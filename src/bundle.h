#ifndef BUNDLE_H
#define BUNDLE_H

#include "arena.h"
#include "error_code.h"
#include "signature.h"
#include "counted_string.h"

#define BNDL_MAX_SIGNATURES 16

/* HTTP methods; the values can be combined into a bit mask. */
enum bndl_method {
	BNDL_GET = 1,
	BNDL_HEAD = 2,
	BNDL_POST = 4,
	BNDL_PUT = 8,
	BNDL_DELETE = 16,
	BNDL_PATCH = 32,
	BNDL_OPTIONS = 64,
	BNDL_ALL_METHODS = 127,
};

/* Trade-off made by outlier detection. */
enum bndl_profile {
	/* Short detection time. */
	BNDL_FAST,
	/* Few false ejections. */
	BNDL_CAREFUL,
};

struct bndl_index;

struct bndl_zone {
	struct str id;
	uint32_t region;
};

struct bndl_backend {
	struct str id;
	/*
	 * Hash of service and backend id; identifies the backend server in
	 * messages.
	 */
	uint64_t key;
	uint32_t service;
	uint32_t zone;
	uint32_t region;
	struct str host;
	int64_t port;
	/* Limits of concurrent requests and of connections, fleet-wide. */
	int64_t slots;
	int64_t connections;
	int64_t warmup_ns;
	bool draining;
};

struct bndl_service {
	struct str id;
	uint64_t key;
	/*
	 * Minimum healthy capacity in slots, fleet-wide; ejection must not go
	 * below it.
	 */
	int64_t floor_slots;
	int64_t deadline_ns;
	/* Mask of enum bndl_method. */
	int64_t idempotent;
	struct str probe_path;
	int64_t profile;
	int64_t queue_max;
	/* Retry budget: retries and hedges, in percent of requests. */
	int64_t retry_percent;
	int64_t hedge_after_ns;
	/* Position and number of its backend servers in bndl.backends. */
	uint32_t first_backend;
	uint32_t backend_count;
};

struct bndl_route {
	/* An empty host matches any host. */
	struct str host;
	struct str prefix;
	uint32_t service;
};

/*
 * A bundle: the configuration of regions, services, backend servers and routes
 * under one version. Arrays and strings are allocated from arena; backends are
 * sorted by service. Immutable after bndl_parse().
 */
struct bndl {
	struct arn arena;
	struct str name;
	int64_t version;
	struct str *regions;
	uint32_t region_count;
	struct bndl_zone *zones;
	uint32_t zone_count;
	struct bndl_service *services;
	uint32_t service_count;
	struct bndl_backend *backends;
	uint32_t backend_count;
	/* Sorted by host, then by length of prefix, longest first. */
	struct bndl_route *routes;
	uint32_t route_count;
	/* Bandwidth limit of the fleet on a link between regions. */
	int64_t link_bytes_per_s;
	/* Lookup of routes and services; owned. */
	struct bndl_index *index;
};

/*
 * Parses and validates the body of a bundle. On ERR_INVALID, errors receives
 * one line per error, beginning with file. The caller must call bndl_free() in
 * every case.
 */
enum err bndl_parse(struct bndl *b, struct str file, struct str text,
		    struct strbuf *errors);
void bndl_free(struct bndl *b);
/*
 * Returns the route with the longest matching prefix among those of the host,
 * else among those without a host; NULL if there is none.
 */
const struct bndl_route *bndl_find_route(const struct bndl *b, struct str host,
					 struct str path);
const struct bndl_service *bndl_find_service(const struct bndl *b,
					     struct str id);
/* Return an index of the array, or UINT32_MAX for an unknown id. */
uint32_t bndl_find_region(const struct bndl *b, struct str id);
uint32_t bndl_find_zone(const struct bndl *b, struct str id);
uint64_t bndl_backend_key(struct str service, struct str backend);
/*
 * Returns the part of a service's floor that applies to a region: proportional
 * to the region's capacity and rounded up, so that the parts add up to at least
 * the floor.
 */
int64_t bndl_region_floor(const struct bndl *b, const struct bndl_service *s,
			  uint32_t region);
/* Returns a value of enum bndl_method, or 0 for any other method. */
unsigned bndl_parse_method(struct str name);

/*
 * A signed bundle is text: an envelope that consists of a line
 * "currantpaddle-bundle 1", a line "signature KEY SIG" in hex for each
 * signature and an empty line; then the body.
 */
struct bndl_signature {
	struct sig_public_key key;
	uint8_t sig[SIG_BYTES];
};

struct bndl_signed {
	struct bndl_signature sigs[BNDL_MAX_SIGNATURES];
	size_t sig_count;
	/* View into the signed text. */
	struct str body;
};

/* ERR_INVALID on a malformed envelope. */
enum err bndl_decode_signed(struct bndl_signed *s, struct str text);
/* Appends envelope and body. */
void bndl_encode_signed(struct strbuf *out, const struct bndl_signed *s);
/*
 * Adds a signature or replaces the one by the same key. ERR_REFUSED if there
 * are BNDL_MAX_SIGNATURES already.
 */
enum err bndl_sign(struct bndl_signed *s, const struct sig_keypair *pair);
/*
 * ERR_REFUSED unless at least needed of the accepted keys have signed the
 * body; several signatures by one key count once.
 */
enum err bndl_verify(const struct bndl_signed *s,
		     const struct sig_public_key *keys, size_t key_count,
		     int64_t needed);

#endif
