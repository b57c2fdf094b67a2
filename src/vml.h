#ifndef VML_H
#define VML_H

#include "idx.h"
#include "tab.h"

#include <stdbool.h>

struct core;
struct member_row;

/*
 * The platform's list of VMs, which lags, and this VM's entry in it. A listed
 * VM that is missing from two successful lists in a row is gone.
 */
#define VML_MISSES_GONE 2

struct vml_row {
	uint64_t key;
	/* Hash of its cell; 0 until a member record named it. */
	uint64_t cell;
	uint64_t round;
	uint32_t misses;
	int64_t missed_ns;
	bool leaving;
};

enum vml_state {
	VML_ABSENT,
	VML_LIVE,
	VML_LEAVING,
};

struct vml {
	struct tab rows;
	struct idx by_key;
	/* A list has been read. */
	bool list_received;
	uint64_t round;
	/* The last list call failed. */
	bool outage;
	uint32_t self_misses;
	int64_t list_due_ns;
	/* Start of the call that runs, or 0. */
	int64_t list_sent_ns;
	uint64_t list_tag;
	/* What the platform is known to have of this VM. */
	enum vml_state registered;
	enum vml_state asked;
	int64_t put_due_ns;
	int64_t put_sent_ns;
	uint64_t put_tag;
	int64_t started_ns;
	/* Roster size at roster_ns. */
	int64_t roster_ns;
	uint32_t roster;
};

void vml_init(struct core *c);
void vml_free(struct core *c);
void vml_tick(struct core *c);
int64_t vml_next_due(const struct core *c);
/* Brings the list's columns of a member up to date. */
void vml_update_member(struct core *c, struct member_row *member);
bool vml_is_voter(const struct core *c, const struct member_row *member);
/*
 * VMs of this cell that count for a majority; 0 when the list names none of
 * this cell. A VM whose cell is unknown counts as one of this cell where that
 * can matter, so that a majority is never too small.
 */
uint32_t vml_voter_count(struct core *c);
/* VMs in the platform's list, or known members if these are more. */
uint32_t vml_fleet_size(const struct core *c);
/* Interval of polls of the platform: at most 20 a second over the fleet. */
int64_t vml_poll_interval(const struct core *c);

#endif
