#ifndef MEMBERSHIP_H
#define MEMBERSHIP_H

#include "core.h"
#include "vm_list.h"

/* A member of this cell whose newest heartbeat is older than this is silent. */
#define MBR_SILENT_NS (3 * NS_PER_S)
/*
 * The same for members of other cells. Only one VM of another cell sends its
 * records here, 11 per second, so a rotation through a fleet of 44 takes
 * several seconds.
 */
#define MBR_OTHER_CELL_SILENT_NS (10 * NS_PER_S)
/*
 * Members silent for this long are removed, and records of this age are not
 * added.
 */
#define MBR_REMOVE_NS (600 * NS_PER_S)
/*
 * Members of this cell in the table, at most. A cell has at most 48 VMs;
 * replaced ones stay for MBR_REMOVE_NS.
 */
#define MBR_CELL_MAX 192

struct mbr_seed {
	char host[64];
	uint16_t port;
};

/*
 * Last message of one sender, to detect replays; kept longer than its member
 * row.
 */
struct mbr_sender {
	uint64_t key;
	uint64_t incarnation;
	uint64_t seq;
	int64_t received_ns;
};

struct mbr {
	struct tab seeds;
	struct tab senders;
	struct idx sender_by_key;
	/* Time of the last event; a gap means that this VM was paused. */
	int64_t last_event_ns;
	int64_t pause_ns;
	/*
	 * Until then, received messages may be as much as pause_ns older than
	 * they seem.
	 */
	int64_t stale_until_ns;
	/* Next removal of old members and senders. */
	int64_t sweep_due_ns;
	/* Value of core.leaving at the last tick. */
	bool leaving;
	/* goss: positions of the rotation over members and shards. */
	uint32_t next_member;
	uint32_t next_shard;
	/* goss: number of steps so far; see GOSS_STEPS_PER_ROUND. */
	uint64_t steps;
	/* Platform's list of VMs. */
	struct vml vml;
};

/*
 * Membership of entry VMs. It combines gossip, in which each VM knows a part of
 * the fleet, the platform's list of VMs, which lags, and the messages received
 * directly.
 * Members are rows of core->members; this VM's own row is always present.
 */
void mbr_init(struct core *c);
void mbr_free(struct core *c);
/* Adds an address to gossip to before any member is known. */
void mbr_add_seed(struct core *c, struct str host, uint16_t port);
/*
 * Called for every message before its handler. Records that the sender was
 * heard directly. False for a message that must be dropped: from an earlier
 * incarnation, from this VM itself, or with a sequence that is not newer than
 * the last (replay).
 */
bool mbr_accept_msg(struct core *c, const struct msg *m);
void mbr_on_gossip(struct core *c, const struct msg *m);
void mbr_tick(struct core *c);
/*
 * Sends this VM's record to a few members at once, when it begins to leave or
 * its active bundle has changed. Members that activate the bundle do the same,
 * so that a new version crosses a cell in a few hops instead of several gossip
 * rounds.
 */
void mbr_announce(struct core *c);
int64_t mbr_next_due(const struct core *c);

/*
 * The member's newest heartbeat, direct or relayed, is within the silence
 * limit.
 */
bool mbr_is_alive(const struct core *c, const struct member_row *member);
bool mbr_in_region(const struct core *c, const struct member_row *member);
/*
 * The member is silent and no longer in the platform's list, or its record says
 * that it is gone.
 */
bool mbr_is_gone(const struct core *c, const struct member_row *member);
/*
 * The voters are the VMs of this cell over which a majority (quorum) is
 * counted: those that the platform lists and that are not gone (see vm_list.h);
 * before a list is known, the known members.
 */
uint32_t mbr_voter_count(const struct core *c);
bool mbr_is_voter(const struct core *c, const struct member_row *member);
/* The row of this VM. */
struct member_row *mbr_self(struct core *c);
bool mbr_in_cell(const struct core *c, const struct member_row *member);
/*
 * Rank of this VM among the live members of its cell that are not leaving, by
 * rendezvous hashing; 0 is the first.
 */
uint32_t mbr_rank(struct core *c);
/* The member of rank 0, which may be this VM. */
struct member_row *mbr_first_ranked(struct core *c);

#endif
