#ifndef TEAM_QUOTA_H
#define TEAM_QUOTA_H

#include "edge_config.h"
#include "entity_table.h"

/*
 * Quotas of teams over the whole fleet; see docs/design/quotas.md. Each VM
 * decides for its own requests, by its estimate of one token bucket of the
 * fleet and by the demand that the VMs report. The tables are this module's
 * own; times are those of the steady clock.
 */

/* Time between two reports of teams that are short of tokens. */
#define QUOTA_TICK_NS INT64_C(250000000)
/* Teams in one message; fits a datagram. */
#define QUOTA_MAX_COUNTS 72

/* Counts of a source for a team since the source started, modulo 2^32. */
struct quota_count {
	/* See quota_short_key(). */
	uint32_t team;
	/* Requests that were sent to servers, and all that were received. */
	uint32_t run;
	uint32_t asked;
};

/* Counts of a VM, or of a region as a VM of it knows them. */
struct quota_report {
	/* Key of the VM, and when its process started. */
	uint64_t source;
	uint64_t incarnation;
	/* Time since the start. */
	int64_t up_ns;
	uint32_t count;
	struct quota_count counts[QUOTA_MAX_COUNTS];
};

/* A team with a limit. */
struct quota_team {
	uint64_t key;
	double rate_per_s;
	double burst;
	/* Estimated tokens of the fleet's bucket as of updated_ns. */
	double fill;
	int64_t updated_ns;
	/* Counts of this VM, of its region, and the last ones reported. */
	struct quota_count own;
	struct quota_count region;
	struct quota_count reported;
	struct quota_count summed;
	/* Decaying counts of requests received, over a second and over ten:
	 * by this VM, and by all. */
	double own_fast, own_slow;
	double all_fast, all_slow;
	/* Decaying count of requests that the peers ran. */
	double peers_run;
	/* Part of a request that the share of the rate has left. */
	double credit;
	/* Requests of this VM by the bucket in the current second. */
	int64_t second_start_ns;
	double second_used;
	double second_limit;
};

/* What a team may have beyond its rate and burst; settings of the fleet. */
struct quota_limits {
	int64_t window_ns;
	double overage;
	double slack;
};

struct quota {
	struct tab teams;
	struct idx team_by_key;
	/* Last counts of each source and team. */
	struct tab sources;
	struct idx source_by_key;
	/* The VM that sends the sums of each other region. */
	struct tab senders;
	struct idx sender_by_region;
	int64_t start_ns;
	/* This VM knows the demand of the fleet from then on. */
	int64_t known_ns;
	bool was_known;
	/* Last message of any VM, last tick. */
	int64_t heard_ns;
	int64_t tick_ns;
	uint32_t ticks;
	/* Part of the rate that the VMs that this VM knows to be alive may
	 * use. */
	double part;
	uint32_t vms;
	struct quota_limits limits;
	uint64_t random_state;
};

struct quota_opts {
	int64_t now_ns;
	/* The fleet starts for the first time: nothing has run yet. */
	bool first_start;
	struct quota_limits limits;
	uint64_t seed;
};

/* Members of the fleet, as the VM knows them. */
struct quota_members {
	/* Of the last minute, and those of them that are alive; without VMs
	 * that leave. At least as many as the VM was told at its start. */
	uint32_t vms;
	uint32_t alive;
	/* When another VM was last heard. */
	int64_t heard_ns;
};

/* Inputs of a decision, for the log. */
struct quota_decision {
	bool allowed;
	double fill;
	/* Part of the requests that pass when the bucket is empty. */
	double share;
	/* Requests per second of the fleet. */
	double demand_per_s;
	int64_t retry_after_ns;
};

void quota_init(struct quota *q, const struct quota_opts *opts);
void quota_free(struct quota *q);
uint32_t quota_short_key(uint64_t team);
/* Takes the limits of a new configuration. */
void quota_set_conf(struct quota *q, const struct conf *c, int64_t now_ns);
/* Counts a request that was received. */
void quota_count_asked(struct quota *q, uint64_t team, int64_t now_ns);
/* Decides whether a request may be sent to a server, and counts it if so. A
 * team without a limit is always allowed. */
struct quota_decision quota_take(struct quota *q, uint64_t team,
				 int64_t now_ns);
/* False for a request that was allowed a while ago, if the fleet has used more
 * than its bucket since then. */
bool quota_may_still_run(struct quota *q, uint64_t team, int64_t now_ns);
/* Takes back the count of a request that no server has run. */
void quota_give_back(struct quota *q, uint64_t team, int64_t now_ns);
/* Is called every QUOTA_TICK_NS. */
void quota_tick(struct quota *q, const struct quota_members *m, int64_t now_ns);
/* Counts that are due to the peers, or to other regions; up to
 * QUOTA_MAX_COUNTS, and to be repeated while it returns true. Fills the counts
 * only. */
bool quota_collect(struct quota *q, bool region, struct quota_report *out,
		   int64_t now_ns);
/* Counts of a VM of this region, or of another region; other_region is then
 * its key, and 0 otherwise. */
void quota_on_report(struct quota *q, const struct quota_report *r,
		     uint64_t other_region, int64_t now_ns);

#endif
