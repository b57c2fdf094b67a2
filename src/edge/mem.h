#ifndef MEM_H
#define MEM_H

#include "edge.h"

/*
 * Membership of the fleet, kept up to date by gossip. Each VM is the only one
 * that writes its record; the others forward it with the age of their
 * knowledge.
 */

/* A member's record in a message. */
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
	/* Time since the VM was last known to be alive. */
	int64_t age_ns;
};

/* Adds this VM's own row. */
void mem_start(struct edge *e);
/* Merges a record if it is newer than the known one; true when the VM was
 * unknown. */
bool mem_merge(struct edge *e, const struct mem_record *r);
/* Records that a known VM was alive that long ago; no effect for others. */
void mem_set_alive(struct edge *e, uint64_t key, int64_t age_ns);
/* The record of a member, as this VM forwards it. */
void mem_get_record(const struct edge *e, const struct mem_row *m,
		    struct mem_record *out);
/* NULL for an unknown VM. */
struct mem_row *mem_find(const struct edge *e, uint64_t key);
/* The row of this VM. */
struct mem_row *mem_self(const struct edge *e);
/* Number of members that are alive, this VM included. */
uint32_t mem_count_alive(const struct edge *e);
/* True for this VM and for those that were alive a short time ago. */
bool mem_is_alive(const struct edge *e, const struct mem_row *m);
/* Removes VMs that have not been known to be alive for a long time. */
void mem_expire(struct edge *e);
/*
 * Selects VMs for callers of a zone: ready VMs of that zone; without any, those
 * of its region; without any, all others. They start at a random one. Writes at
 * most max rows and returns their number.
 */
size_t mem_select_for_callers(struct edge *e, struct str zone,
			      struct str region, const struct mem_row **out,
			      size_t max);

#endif
