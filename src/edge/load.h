#ifndef LOAD_H
#define LOAD_H

#include "edge.h"

/*
 * Load of backend servers. A VM alone sees a small part of a server's work,
 * so the VMs of a region tell each other how many requests each has in flight
 * at which server, and the first VM of a region tells the other regions its
 * sums and ejected servers. All of it is a hint with an age: what is not
 * repeated expires.
 */
#define LOAD_MAX_EJECTED 128

/* State of another region. */
struct load_summary {
	uint64_t region;
	uint32_t service_count;
	struct load_sum {
		uint64_t service;
		uint32_t in_flight;
		/* Slots of servers that are in use. */
		uint32_t slots;
	} services[LOAD_MAX_ENTRIES];
	uint32_t ejected_count;
	/* Tags of servers. */
	uint32_t ejected[LOAD_MAX_EJECTED];
};

void load_start(struct edge *e);
/* Report of another VM of this region. */
void load_set_report(struct edge *e, struct mem_row *from,
		     const struct load_report *r);
/* Summary of another region. */
void load_set_summary(struct edge *e, const struct load_summary *s);
/* Drops reports that are too old. */
void load_expire(struct edge *e);
/*
 * Requests ahead of a new one per slot of the server, in thousandths: 1000
 * when all slots are taken.
 */
uint32_t load_permille(const struct edge *e, const struct srv_row *s);

#endif
