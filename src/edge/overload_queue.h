#ifndef OVERLOAD_QUEUE_H
#define OVERLOAD_QUEUE_H

#include <stdbool.h>
#include <stddef.h>

#include "entity_table.h"

/*
 * The load that it answers: callers compete for too few slots of a service, as
 * in bursts of one kind of request, with a team that sends many times its usual
 * or while servers are out of use.
 *
 * Decides in which order the waiting requests of one service on this VM get
 * free slots, and which of them are refused because more wait than the slots
 * serve within the latency objectives. Order: priority of the team, then of the
 * route; among these, requests that can still meet their objective; then the
 * team that has used fewer slots lately; then the earlier latest start.
 */

/* A waiting request. */
struct ovlq_entry {
	struct hnd request;
	/* Priorities: 0 is the most urgent. */
	uint32_t team_priority;
	uint32_t priority;
	/* Team, 0 for none, and its tag in the fair queue; see fair_queue.h. */
	uint64_t team;
	int64_t team_tag;
	/* Time at which the response is due: by the latency objective, and by
	 * the time limit of the request. */
	int64_t objective_ns;
	int64_t expires_ns;
	/* Expected service time, and the least that is taken to be possible. */
	int64_t work_ns;
	int64_t min_work_ns;
	/* Slots that it may get: those not held by more urgent requests. Used
	 * by ovlq_judge() only. */
	uint32_t slots;
	/* Set by ovlq_judge(). Requests before it, and the time until these
	 * have got a slot. */
	uint32_t place;
	int64_t wait_ns;
	enum ovlq_verdict {
		OVLQ_KEEP,
		/* Its work does not fit into the time that it has left. */
		OVLQ_NO_TIME,
		/* The slots serve those before it until its objective has
		 * passed. */
		OVLQ_TOO_MANY,
	} verdict;
};

/* Puts the entries into the order in which they get slots. */
void ovlq_order(struct ovlq_entry *entries, size_t count, int64_t now_ns);
/* Sets place, wait and verdict of ordered entries. Refused entries do not delay
 * others. */
void ovlq_judge(struct ovlq_entry *entries, size_t count, int64_t now_ns);
const char *ovlq_verdict_name(enum ovlq_verdict verdict);

#endif
