#ifndef MEM_H
#define MEM_H

#include "edge.h"

/*
 * Membership: the VMs of the fleet, as this one has heard of them. Each VM
 * owns its record; the others pass it on with the age of what they know.
 */

/* A record as it travels in a message. */
struct mem_record {
	uint64_t key;
	uint64_t zone;
	uint64_t region;
	struct sockaddr_in peer;
	uint16_t callers_port;
	bool leaving;
	bool ready;
	uint32_t link_mbps;
	uint64_t incarnation;
	uint64_t heartbeat;
	/* Time since the VM was known to be alive. */
	int64_t age_ns;
};

/* Adds this VM's own row. */
void mem_start(struct edge *e);
/* Takes over what is newer than the known; true when the VM was unknown. */
bool mem_merge(struct edge *e, const struct mem_record *r);
/* A known VM was alive so long ago. */
void mem_set_alive(struct edge *e, uint64_t key, int64_t age_ns);
void mem_get_record(const struct edge *e, const struct mem_row *m,
		    struct mem_record *out);
/* NULL for a VM that is not known. */
struct mem_row *mem_find(const struct edge *e, uint64_t key);
struct mem_row *mem_self(const struct edge *e);
/* VMs heard of recently, this one included. */
uint32_t mem_count_alive(const struct edge *e);
bool mem_is_alive(const struct edge *e, const struct mem_row *m);
/* Removes VMs that have been silent for long. */
void mem_expire(struct edge *e);
/*
 * Addresses for callers of a zone: ready VMs of that zone, of its region, then
 * any. Appends up to max rows and returns their number.
 */
size_t mem_select_for_callers(struct edge *e, struct str zone,
			      struct str region, const struct mem_row **out,
			      size_t max);

#endif
