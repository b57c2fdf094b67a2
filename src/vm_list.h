#ifndef VM_LIST_H
#define VM_LIST_H

#include "hash_index.h"
#include "entity_table.h"

#include <stdbool.h>

struct core;
struct member_row;

/*
 * Copy of the platform's list of VMs, which is eventually consistent, and the
 * registration of this VM in it. A VM that was listed is gone when it is
 * missing from two consecutive lists; failed list calls do not count.
 */
#define VML_GONE_MISSES 2

struct vml_row {
	uint64_t key;
	/* Hash of its cell; 0 until a member record has named it. */
	uint64_t cell;
	/* Value of vml.round for the last list that contained it. */
	uint64_t round;
	/* Consecutive lists without it, and the time of the first of them. */
	uint32_t misses;
	int64_t missed_ns;
	bool leaving;
};

/* State of this VM's entry in the list. */
enum vml_state {
	VML_ABSENT,
	VML_LIVE,
	VML_LEAVING,
};

struct vml {
	struct tab rows;
	struct idx by_key;
	/* At least one list has been received. */
	bool list_received;
	/* Number of lists received. */
	uint64_t round;
	/* The last list call failed; the platform may have lost its list. */
	bool outage;
	/* Consecutive lists without this VM. */
	uint32_t self_misses;
	int64_t list_due_ns;
	/* Time at which the list call in progress was sent, or 0. */
	int64_t list_sent_ns;
	uint64_t list_tag;
	/* State that the platform has confirmed, and state of the last call. */
	enum vml_state registered;
	enum vml_state requested;
	int64_t put_due_ns;
	int64_t put_sent_ns;
	uint64_t put_tag;
	int64_t started_ns;
	/* Cached vml_voter_count() and its time; -1 when out of date. */
	int64_t voters_ns;
	uint32_t voters;
};

void vml_init(struct core *c);
void vml_free(struct core *c);
void vml_tick(struct core *c);
int64_t vml_next_due(const struct core *c);
/* Updates the columns of a member that come from the list. */
void vml_update_member(struct core *c, struct member_row *member);
/*
 * Returns true for a VM that is listed, and for one that is gone from the list
 * but alive by its heartbeats.
 */
bool vml_is_voter(const struct core *c, const struct member_row *member);
/*
 * Number of VMs of this cell of which a majority is needed; 0 when the list has
 * none of this cell. A VM whose cell is unknown counts while it may be one of
 * this cell, so that a majority is never too small.
 */
uint32_t vml_voter_count(struct core *c);
/* Number of VMs in the list, or of known members if that is higher. */
uint32_t vml_fleet_size(const struct core *c);
/*
 * Random interval between polls of the platform: on average at most 20 polls
 * per second over the fleet.
 */
int64_t vml_poll_interval(const struct core *c);

#endif
