#ifndef EDGE_SETTINGS_H
#define EDGE_SETTINGS_H

#include <netinet/in.h>

#include "arena.h"
#include "json_reader.h"

#define ESET_MAX_SEEDS 16
#define ESET_MAX_ZONES 64

struct eset_zone {
	struct str zone;
	struct str region;
	uint64_t zone_key;
	uint64_t region_key;
};

/* Settings of an edge process. The arena owns the strings. */
struct eset {
	struct arn arena;
	struct str id;
	struct str zone;
	struct str region;
	/* Address for messages between VMs; its port is peer_port. */
	struct sockaddr_in message_addr;
	/* Listeners; one with port 0 is not opened. */
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
	/* Messages between VMs are not authenticated, so the setting
	 * "peer_trust" must state that the network is trusted. */
	int64_t peer_trusted;
	/* Time from the acknowledgement of a drain to the last new request;
	 * read, but not used. */
	int64_t drain_ns;
	/* Grace period from a stop signal to the exit of the process. */
	int64_t grace_ns;
	/* Time for which callers may cache a list of addresses. */
	int64_t address_ttl_ns;
	/* Retry budget: retries per request to a service, in thousandths. */
	int64_t retry_permille;
	/* Retries of the whole fleet in each window beyond that ratio. */
	int64_t retry_slack;
	int64_t retry_window_ns;
	/* Limit of a team in a window over all VMs: rate and burst, times 1
	 * plus the overage, plus the slack. */
	int64_t quota_window_ns;
	int64_t quota_overage_permille;
	int64_t quota_slack;
	/* The fleet starts for the first time: there were no retries before. */
	bool first_start;
	/* Floor: minimum share of a service's servers that stays in use, in
	 * thousandths. */
	int64_t floor_permille;
	int64_t log_level;
	/* Capacity of this VM's network link. */
	int64_t link_mbps;
	/* Memory of the machine in MB, and its limit of open descriptors; 0 to
	 * ask the machine. */
	int64_t memory_mb;
	int64_t max_descriptors;
};

/* Reads the settings from a file; appends messages about faults to errors. */
enum err eset_load(struct eset *s, struct str file, struct strbuf *errors);
/* Reads the settings from text; file is its name in messages. */
enum err eset_parse(struct eset *s, struct str file, struct str text,
		    struct strbuf *errors);
void eset_free(struct eset *s);
/* Key of the region of a zone; 0 for a zone that the settings do not list. */
uint64_t eset_region_of_zone(const struct eset *s, uint64_t zone);
/* Parses a time such as "500ms" or "1.5s"; ERR_INVALID for any other text or
 * more than a day. */
enum err eset_parse_duration(struct str text, int64_t *ns);
/* Parses "ADDRESS:PORT" with an IPv4 address. */
enum err eset_parse_address(struct str text, struct sockaddr_in *out);

#endif
