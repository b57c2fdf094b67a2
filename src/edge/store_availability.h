#ifndef STORE_AVAILABILITY_H
#define STORE_AVAILABILITY_H

#include <stdbool.h>
#include <stdint.h>

#include "timer.h"

/* Servers whose rows the store has lost register again within 2 s after it is
 * back. */
#define AVAIL_REGISTER_NS (2200 * NS_PER_MS)

/*
 * Since when the store has been available, by the reads of all VMs of a region.
 * While the store is away, rows of servers expire that register again once it
 * is back; a VM that alone cannot reach the store must not take that for such
 * an outage. VMs share what they know with their change notices.
 */
struct avail_state {
	/* First of this VM's consecutive failed reads; 0 while reads
	 * succeed. */
	int64_t failing_since_ns;
	/* Last successful read by a VM of the region; 0 for none. */
	int64_t served_ns;
	/* No two successful reads since then were OUTAGE_NS apart; 0 if
	 * unknown. */
	int64_t since_ns;
	/* An outage ended at since_ns. */
	bool after_outage;
};

/* The same as ages, for a notice. */
struct avail_report {
	/* -1 if unknown. */
	int64_t since_age_ns;
	int64_t served_age_ns;
	bool after_outage;
};

/* Records a read of this VM. */
void avail_on_read(struct avail_state *a, int64_t now_ns, bool ok);
/* Takes over what a peer knows better; false if the peer assumes an outage
 * during which the store was available, and should be told so. */
bool avail_on_report(struct avail_state *a, int64_t now_ns,
		     const struct avail_report *r);
struct avail_report avail_report(const struct avail_state *a, int64_t now_ns);
/* Time at which all servers that live have registered again after the last
 * outage; 0 if there was none. */
int64_t avail_registered_ns(const struct avail_state *a);

#endif
