#ifndef MBR_H
#define MBR_H

#include "core.h"
#include "vml.h"

/* A member record older than this is silent. */
#define MBR_SILENT_NS (3 * NS_PER_S)
/*
 * Limit for members of other cells: one VM at a time sends their records here,
 * 11 in a second, so a fleet of 44 takes several seconds to go round.
 */
#define MBR_FOREIGN_SILENT_NS (10 * NS_PER_S)
/* Silent members are removed, and records as old are not taken. */
#define MBR_REMOVE_NS (600 * NS_PER_S)
/* Members of one cell; a cell has at most 48 VMs, and replaced ones stay for
 * MBR_REMOVE_NS. */
#define MBR_CELL_MAX 192

struct mbr_seed {
	char host[64];
	uint16_t port;
};

/* Last message of one sender; kept longer than its member row. */
struct mbr_sender {
	uint64_t key;
	uint64_t incarnation;
	uint64_t seq;
	int64_t at_ns;
};

struct mbr {
	struct tab seeds;
	struct tab senders;
	struct idx sender_by_key;
	/* Time of the last event; a gap shows that this VM was paused. */
	int64_t last_ns;
	int64_t pause_ns;
	/* Until then, received messages may have waited for pause_ns. */
	int64_t stale_until_ns;
	int64_t sweep_ns;
	bool leaving;
	/* goss: where the rotation over members and shards goes on. */
	uint32_t next_member;
	uint32_t next_shard;
	uint64_t steps;
	struct vml vml;
};

/*
 * Membership of entry VMs: gossip with partial views, the platform's lagging
 * list, and who was heard directly. Rows are core->members; this VM's own row
 * is always present.
 */
void mbr_init(struct core *c);
void mbr_free(struct core *c);
/* Address to gossip to before any member is known. */
void mbr_add_seed(struct core *c, struct str host, uint16_t port);
/*
 * Called for every message before its handler. Notes that the sender was
 * heard directly; false for a message from an earlier incarnation, from this
 * VM itself, or with a sequence that was seen before (replay).
 */
bool mbr_accept_msg(struct core *c, const struct msg *m);
void mbr_on_gossip(struct core *c, const struct msg *m);
void mbr_tick(struct core *c);
/*
 * Tells a few members at once that this VM is leaving or runs another bundle.
 * With a bundle each of them does the same, so that the news crosses a cell in
 * a few hops and not in rounds of gossip.
 */
void mbr_announce(struct core *c);
int64_t mbr_next_due(const struct core *c);

/* A heartbeat of it, direct or relayed, is younger than the silence limit. */
bool mbr_is_alive(const struct core *c, const struct member_row *member);
bool mbr_in_region(const struct core *c, const struct member_row *member);
/* The platform's list had it and no longer has it, or says that it ended. */
bool mbr_is_gone(const struct core *c, const struct member_row *member);
/*
 * Number of VMs of this VM's cell that count for a majority: listed by the
 * platform and not gone; before any list is known, the known members.
 */
uint32_t mbr_roster_size(const struct core *c);
bool mbr_in_roster(const struct core *c, const struct member_row *member);
/* This VM. */
struct member_row *mbr_self(struct core *c);
bool mbr_in_cell(const struct core *c, const struct member_row *member);
/*
 * Place of this VM among the live, not leaving members of its cell in
 * rendezvous order; 0 is the first.
 */
uint32_t mbr_rank(struct core *c);
/* The first member in that order, which may be this VM. */
struct member_row *mbr_first_ranked(struct core *c);

#endif
