#ifndef ESET_H
#define ESET_H

#include <netinet/in.h>

#include "arn.h"
#include "cfg.h"

#define ESET_MAX_SEEDS 16
#define ESET_MAX_ZONES 64

struct eset_zone {
	struct str zone;
	struct str region;
	uint64_t zone_key;
	uint64_t region_key;
};

/* Settings of an edge process; strings live in the arena. Times are ns. */
struct eset {
	struct arn arena;
	struct str id;
	struct str zone;
	struct str region;
	struct sockaddr_in address;
	/* Listeners; port 0 when the role does not serve it. */
	struct sockaddr_in callers;
	struct sockaddr_in ready;
	struct sockaddr_in directory;
	struct sockaddr_in control;
	struct sockaddr_in seeds[ESET_MAX_SEEDS];
	size_t seed_count;
	struct eset_zone zones[ESET_MAX_ZONES];
	size_t zone_count;
	int64_t peer_port;
	struct sockaddr_in store;
	/* Messages between VMs carry no keys; only "network" is accepted. */
	int64_t peer_trusted;
	/* Time from the acknowledgement of a drain to the last new work. */
	int64_t drain_ns;
	/* Time from a stop signal to the end of the process. */
	int64_t grace_ns;
	/* How long callers may keep an answer with addresses. */
	int64_t address_ttl_ns;
	/* Repeats allowed per request to a service, in thousandths. */
	int64_t retry_permille;
	/* Repeats allowed besides, in each window, by the whole fleet. */
	int64_t retry_slack;
	int64_t retry_window_ns;
	/* Part of a service's servers that stays in use, in thousandths. */
	int64_t floor_permille;
	int64_t log_level;
	/* Capacity of this VM's network link. */
	int64_t link_mbps;
};

enum err eset_load(struct eset *s, struct str file, struct strbuf *errors);
/* The same for text; file names it in errors. */
enum err eset_parse(struct eset *s, struct str file, struct str text,
		    struct strbuf *errors);
void eset_free(struct eset *s);
/* Keys of the regions' and zones' names; 0 for a zone that is not named. */
uint64_t eset_region_of_zone(const struct eset *s, uint64_t zone);
/* "500ms", "1.5s"; ERR_INVALID on anything else or above a day. */
enum err eset_parse_duration(struct str text, int64_t *ns);
/* "ADDRESS:PORT" of IPv4. */
enum err eset_parse_address(struct str text, struct sockaddr_in *out);

#endif
