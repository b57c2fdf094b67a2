#ifndef BACKEND_LOAD_H
#define BACKEND_LOAD_H

#include "edge.h"

/*
 * Load of backend servers. A single VM sees only a small part of a server's
 * load, so the VMs of a region report their requests in flight by server to
 * each other, and the VM of rank 0 (sync_rank()) sends the totals by service
 * and the ejected servers to the other regions. Reports are hints: they expire
 * unless they are sent again.
 */

/* Ejected servers in the summary of a region. */
#define LOAD_MAX_EJECTED 128

/* Load and ejections in a region, for the other regions. */
struct load_summary {
	uint64_t region;
	uint32_t service_count;
	struct load_service_sum {
		uint64_t service;
		uint32_t in_flight;
		/* Slots of the servers that are not ejected. */
		uint32_t slots;
	} services[LOAD_MAX_ENTRIES];
	uint32_t ejected_count;
	/* See srv_short_key(). */
	uint32_t ejected[LOAD_MAX_EJECTED];
};

/* Starts sending reports and summaries. */
void load_start(struct edge *e);
/* Handles a report of a peer, which replaces its last one. */
void load_on_report(struct edge *e, struct vm_row *from,
		    const struct load_report *r);
/* Handles the summary of another region, which replaces its last one. */
void load_on_summary(struct edge *e, const struct load_summary *s);
/* Drops reports that have expired. */
void load_expire(struct edge *e);
/*
 * Requests in flight at the server per slot, in thousandths: 1000 when all
 * slots are taken. For a server of another region, the mean of the region's
 * servers of the service plus this VM's own requests.
 */
uint32_t load_permille(const struct edge *e, const struct srv_row *s);

#endif
