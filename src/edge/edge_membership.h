#ifndef EDGE_MEMBERSHIP_H
#define EDGE_MEMBERSHIP_H

#include "edge.h"

/*
 * The edge VMs of the fleet. Each VM writes its own record; the others forward
 * it by gossip, with the time since they last knew the VM to be alive.
 */

/* Record of a VM, as the VMs send it to each other. */
struct vm_record {
	uint64_t key;
	uint64_t zone;
	uint64_t region;
	struct sockaddr_in message_addr;
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
void vm_add_self(struct edge *e);
/* Merges a record if it is newer than the known one; true when the VM was
 * unknown. */
bool vm_merge(struct edge *e, const struct vm_record *r);
/* Records that a VM was alive that long ago; no effect if it is unknown. */
void vm_record_alive(struct edge *e, uint64_t key, int64_t age_ns);
/* Fills the record of a VM, as this VM forwards it. */
void vm_get_record(const struct edge *e, const struct vm_row *vm,
		   struct vm_record *out);
/* NULL for an unknown VM. */
struct vm_row *vm_find(const struct edge *e, uint64_t key);
/* The row of this VM. */
struct vm_row *vm_self(const struct edge *e);
/* Number of VMs that are alive, this one included. */
uint32_t vm_count_alive(const struct edge *e);
/* True for this VM and for those that were alive a short time ago. */
bool vm_is_alive(const struct edge *e, const struct vm_row *vm);
/* Removes VMs that have not been known to be alive for a long time. */
void vm_expire(struct edge *e);
/*
 * Selects VMs for callers of a zone: the ready VMs of that zone; if there are
 * none, those of its region; if there are none either, all others. The list
 * starts at a random one. Writes at most max rows and returns their number.
 */
size_t vm_select_for_callers(struct edge *e, struct str zone, struct str region,
			     const struct vm_row **out, size_t max);

#endif
