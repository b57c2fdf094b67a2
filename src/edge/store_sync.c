#include "store_sync.h"

#include <string.h>

#include "edge_membership.h"
#include "logs.h"
#include "metrics.h"
#include "store_sync_internal.h"

/* Interval at which the VM of rank 0 polls for changes of servers. */
#define POLL_INTERVAL_NS (600 * NS_PER_MS)
/* Time without a notice after which a VM of rank 1, of rank 2, or of rank 3 and
 * above reads the store itself. With the jitter, all are below 2 s, the bound
 * within which every VM must know of a drain. */
#define RANK_1_TAKEOVER_NS (1000 * NS_PER_MS)
#define RANK_2_TAKEOVER_NS (1250 * NS_PER_MS)
#define RANK_3_TAKEOVER_NS (1450 * NS_PER_MS)
#define TAKEOVER_JITTER_NS (300 * NS_PER_MS)
/* VMs up to this rank read the store in place of a reader that cannot. */
#define LAST_CORRECTING_RANK 2
/* VMs of a region that long-poll for changes of the configuration. */
#define CONFIG_READERS 2
/* Longest time that the store holds a long poll without a change. A lost
 * response is detected only afterwards and after the margin of the platform's
 * client, 0.5 s; what remains of the 2 s within which a change must be known
 * is for the next read and the other VMs. */
#define CONFIG_LONG_POLL_NS (1000 * NS_PER_MS)
/* Times that the first notice of a new configuration is repeated, against lost
 * datagrams. */
#define CONFIG_NOTICE_REPEATS 2
#define NOTICE_REPEAT_INTERVAL_NS (200 * NS_PER_MS)
/* Time to discover peers before the first read of the store. */
#define DISCOVERY_DELAY_NS (300 * NS_PER_MS)
/* Exponential backoff after failed reads of the store. */
#define RETRY_DELAY_MIN_NS (200 * NS_PER_MS)
#define RETRY_DELAY_MAX_NS (1600 * NS_PER_MS)

static void on_poll_timer(void *ctx, int64_t now_ns);

void sync_schedule_poll(struct edge *e, int64_t due_ns)
{
	tmr_cancel(&e->ev.timers, e->sync.timer);
	e->sync.timer =
		tmr_subscribe(&e->ev.timers, &(struct tmr_opts){
						     .due_ns = due_ns,
						     .fire = on_poll_timer,
						     .ctx = e,
					     });
}

int64_t sync_takeover_delay_ns(struct edge *e, uint32_t rank)
{
	if (!rank)
		return 0;
	if (rank == 1)
		return RANK_1_TAKEOVER_NS;
	if (rank == 2)
		return RANK_2_TAKEOVER_NS;
	return RANK_3_TAKEOVER_NS +
	       (int64_t)(edge_random(e) % TAKEOVER_JITTER_NS);
}

void sync_read_config(struct edge *e, int64_t wait_ns)
{
	if (e->sync.reading_config)
		return;
	e->sync.reading_config = true;
	e->sync.store.read_config(e->sync.store.ctx, e->sync.config_version,
				  wait_ns);
}

/* The second reader sends notices too, of new configurations; only when the
 * first one is silent do they show that it has taken over. */
static void record_notice_rank(struct edge *e, uint32_t rank)
{
	struct sync_state *s = &e->sync;

	if (rank > s->notice_rank &&
	    e->ev.now_ns - s->notice_rank_ns < RANK_1_TAKEOVER_NS)
		return;
	s->notice_rank = rank;
	s->notice_rank_ns = e->ev.now_ns;
}

bool sync_is_config_reader(const struct edge *e)
{
	uint32_t rank = sync_rank(e);
	uint32_t silent = e->sync.notice_rank;

	return rank - (silent <= rank ? silent : 0) < CONFIG_READERS;
}

/*
 * Opens the long poll of a reader of the configuration. Called whenever the
 * timer of the polls is set, since notices may postpone its end for ever; a VM
 * becomes a reader when one of a lower rank ends.
 */
static void keep_long_poll(struct edge *e)
{
	bool reader = sync_is_config_reader(e);

	if (reader != e->sync.config_reader)
		logs_event(LOGS_INFO, "reader",
			   (struct logs_field[]){
				   LOGS_INT("config", reader),
				   LOGS_INT("rank", sync_rank(e)),
			   },
			   2);
	e->sync.config_reader = reader;
	if (reader && edge_has_state(e) &&
	    e->ev.now_ns >= e->sync.config_retry_ns)
		sync_read_config(e, CONFIG_LONG_POLL_NS);
}

static void poll_store(struct edge *e, uint32_t rank)
{
	if (!e->sync.reading_servers) {
		e->sync.reading_servers = true;
		e->sync.read_after = e->sync.servers_version;
		e->sync.store.read_servers(e->sync.store.ctx,
					   e->sync.servers_version);
	}
	if (e->ev.now_ns >= e->sync.config_retry_ns)
		sync_read_config(e, rank < CONFIG_READERS && e->conf
					    ? CONFIG_LONG_POLL_NS
					    : 0);
}

/*
 * A VM without state fetches it from a peer if one is ready; without such a
 * peer, a reader of the configuration reads the store at once. All others read
 * the store when their takeover delay has passed since the last update; until
 * then, readers of the configuration only keep their long poll open. The end of
 * the read of servers, or of the fetch, schedules the timer again.
 */
static void on_poll_timer(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	uint32_t rank = sync_rank(e);
	int64_t due = e->sync.last_update_ns + sync_takeover_delay_ns(e, rank);
	const struct vm_row *from;

	e->sync.timer = HND_NONE;
	if (e->sync.reading_servers || sync_is_fetching(e, SYNC_STATE))
		return;
	from = edge_has_state(e) ? NULL : sync_find_ready_peer(e);
	if (from && !e->sync.fetch_failed) {
		sync_schedule_fetch(e, SYNC_STATE, now_ns);
		return;
	}
	e->sync.fetch_failed = false;
	if (now_ns < due && !(rank < CONFIG_READERS && !edge_has_state(e))) {
		keep_long_poll(e);
		sync_schedule_poll(e, due);
		return;
	}
	poll_store(e, rank);
}

/* Logs that reads of a table, the field "rows", began to fail, succeed again,
 * or cannot continue from the version that this VM has. */
static void log_store_state(const struct edge *e, const char *rows,
			    const char *change, bool failing)
{
	logs_event(failing ? LOGS_WARNING : LOGS_INFO, "store",
		   (struct logs_field[]){
			   LOGS_STR("rows", str_from(rows)),
			   LOGS_STR("change", str_from(change)),
			   LOGS_INT("servers_version", e->sync.servers_version),
			   LOGS_INT("config_version", e->sync.config_version),
			   LOGS_INT("rank", sync_rank(e)),
		   },
		   5);
}

/* Time of the next attempt: after half to all of the delay, at random, so that
 * VMs do not call the store at the same moment. Doubles the delay. */
static int64_t next_retry_ns(struct edge *e, int64_t *delay_ns)
{
	int64_t delay = *delay_ns;

	if (*delay_ns < RETRY_DELAY_MAX_NS)
		*delay_ns *= 2;
	return e->ev.now_ns + delay / 2 +
	       (int64_t)(edge_random(e) % (uint64_t)delay) / 2;
}

static struct sync_notice make_notice(const struct edge *e, uint64_t from,
				      uint64_t to)
{
	return (struct sync_notice){
		.era = e->sync.era,
		.config = edge_conf_in_force(e),
		.from_version = from,
		.to_version = to,
		.store = avail_report(&e->store, e->ev.now_ns),
	};
}

/* Sends a notice that changes[first..last) are all those between two versions
 * of the store; false if it does not fit a message. */
static bool try_send_notice(struct edge *e, uint64_t from, uint64_t to,
			    uint32_t first, uint32_t last)
{
	const struct sync_changes *c = &e->sync.changes;
	struct sync_notice n = make_notice(e, from, to);
	uint32_t i;

	n.change_count = last - first;
	for (i = first; i < last; i++) {
		n.changes[i - first] = c->changes[i];
		n.changes[i - first].report.id = str_from(c->changes[i].id);
	}
	return e->sync.peers.send_notice(e->sync.peers.ctx, &n, NULL);
}

/* Version of the store after the kept change before that index. */
static uint64_t version_before(const struct edge *e, uint32_t index)
{
	return e->sync.changes.changes[index - 1].report.version;
}

/* The same, in as many notices as it takes; one change always fits. */
static void send_notice_part(struct edge *e, uint64_t from, uint64_t to,
			     uint32_t first, uint32_t last)
{
	uint32_t middle = first + (last - first) / 2;

	if (try_send_notice(e, from, to, first, last) || last - first < 2)
		return;
	send_notice_part(e, from, version_before(e, middle), first, middle);
	send_notice_part(e, version_before(e, middle), to, middle, last);
}

/* Index of the first kept change that is newer than a version. */
static uint32_t first_change_after(const struct sync_changes *c, uint64_t after)
{
	uint32_t i = c->count;

	while (i > 0 && c->changes[i - 1].report.version > after)
		i--;
	return i;
}

/*
 * Broadcasts the changes of the last read. Those of earlier reads are repeated
 * as long as all fit one notice, so that a lost datagram leaves no gap.
 */
static void send_notices(struct edge *e)
{
	const struct sync_changes *c = &e->sync.changes;
	uint64_t to = e->sync.servers_version, from = c->recent_read_after[0];
	uint32_t i, first;

	if (!edge_has_state(e))
		return;
	for (i = 1; i < SYNC_REPEATED_READS; i++)
		if (c->recent_read_after[i] >= c->from &&
		    c->recent_read_after[i] &&
		    c->count - first_change_after(c, c->recent_read_after[i]) <=
			    SYNC_MAX_NOTICE_CHANGES)
			from = c->recent_read_after[i];
	/* If not all changes since then are kept, a notice without changes,
	 * from the current version, makes receivers that are behind fetch the
	 * state. */
	if (!from || from < c->from)
		from = to;
	for (first = first_change_after(c, from);
	     c->count - first > SYNC_MAX_NOTICE_CHANGES;
	     first += SYNC_MAX_NOTICE_CHANGES) {
		uint32_t last = first + SYNC_MAX_NOTICE_CHANGES;
		uint64_t upto = c->changes[last - 1].report.version;

		send_notice_part(e, from, upto, first, last);
		from = upto;
	}
	send_notice_part(e, from, to, first, c->count);
}

void sync_on_change(struct edge *e, const struct srv_change *change)
{
	struct sync_changes *c = &e->sync.changes;
	struct srv_change *copy;

	codec_apply_change(e, change);
	if (!e->sync.read_after)
		return;
	if (c->count == SYNC_MAX_KEPT_CHANGES) {
		uint32_t half = SYNC_MAX_KEPT_CHANGES / 2;

		c->from = c->changes[half - 1].report.version;
		memmove(&c->changes[0], &c->changes[half],
			half * sizeof(c->changes[0]));
		c->count = half;
	}
	copy = &c->changes[c->count++];
	*copy = *change;
	str_copy(copy->id, sizeof(copy->id), change->report.id);
}

/* Discards the kept changes, as those between them and this version are
 * unknown. */
static void reset_changes(struct sync_state *s, uint64_t version)
{
	s->changes.count = 0;
	s->changes.from = version;
	memset(s->changes.recent_read_after, 0,
	       sizeof(s->changes.recent_read_after));
}

/* Records the start version of a read, so that later notices repeat its
 * changes; a read of all rows leaves none to repeat. */
static void record_read(struct sync_state *s, uint64_t version)
{
	struct sync_changes *c = &s->changes;

	if (!s->read_after) {
		reset_changes(s, version);
		return;
	}
	memmove(&c->recent_read_after[1], &c->recent_read_after[0],
		(SYNC_REPEATED_READS - 1) * sizeof(c->recent_read_after[0]));
	c->recent_read_after[0] = s->read_after;
}

void sync_on_era(struct edge *e, uint64_t era)
{
	struct sync_state *s = &e->sync;

	if (era <= s->era)
		return;
	logs_event(LOGS_INFO, "store_era",
		   (struct logs_field[]){
			   LOGS_INT("era", era),
			   LOGS_INT("before", s->era),
			   LOGS_INT("servers_version", s->servers_version),
			   LOGS_INT("config_version", s->config_version),
			   LOGS_INT("config", e->conf ? e->conf->version : 0),
			   LOGS_INT("rank", sync_rank(e)),
		   },
		   6);
	ctr_add(CTR_STORE_ERAS, 1);
	s->era = era;
	s->config_version = 0;
	s->servers_version = 0;
	reset_changes(s, 0);
	if (e->servers_known)
		s->era_registered_ns = e->ev.now_ns + AVAIL_REGISTER_NS;
	srv_begin_era(e);
}

static void on_servers_read_failed(struct edge *e)
{
	struct sync_state *s = &e->sync;

	avail_on_read(&e->store, e->ev.now_ns, false);
	if (!s->servers_failing)
		log_store_state(e, "servers", "lost", true);
	s->servers_failing = true;
	sync_schedule_poll(e, next_retry_ns(e, &s->servers_backoff_ns));
}

/* Replaces a read that began before the store recovered, as its response may
 * never arrive. */
static void restart_config_read(struct edge *e)
{
	struct sync_state *s = &e->sync;

	if (s->reading_config)
		s->store.cancel_config(s->store.ctx);
	s->reading_config = false;
	s->config_retry_ns = 0;
	s->config_backoff_ns = RETRY_DELAY_MIN_NS;
	sync_read_config(e, 0);
}

void sync_servers_done(struct edge *e, enum sync_result result,
		       uint64_t version)
{
	struct sync_state *s = &e->sync;

	s->reading_servers = false;
	if (result == SYNC_FAILED) {
		on_servers_read_failed(e);
		return;
	}
	avail_on_read(&e->store, e->ev.now_ns, true);
	s->servers_backoff_ns = RETRY_DELAY_MIN_NS;
	if (s->servers_failing) {
		log_store_state(e, "servers", "regained", false);
		restart_config_read(e);
	}
	s->servers_failing = false;
	if (result == SYNC_TOO_OLD) {
		log_store_state(e, "servers", "history gone", false);
		s->servers_version = 0;
		sync_schedule_poll(e, e->ev.now_ns);
		return;
	}
	record_read(s, version);
	if (version > s->servers_version)
		s->servers_version = version;
	e->servers_known = true;
	s->last_update_ns = e->ev.now_ns;
	record_notice_rank(e, sync_rank(e));
	send_notices(e);
	keep_long_poll(e);
	sync_schedule_poll(
		e, e->ev.now_ns + (sync_rank(e) ? sync_takeover_delay_ns(
							  e, sync_rank(e))
						: POLL_INTERVAL_NS));
}

/* Repeats a notice of a new configuration, which may be lost. The periodic
 * notices do not replace it: they come from the VM of rank 0, which may not
 * know this configuration yet. */
static void repeat_notice(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;

	send_notices(e);
	if (e->sync.config_notices_left && --e->sync.config_notices_left)
		tmr_subscribe(
			&e->ev.timers,
			&(struct tmr_opts){
				.due_ns = now_ns + NOTICE_REPEAT_INTERVAL_NS,
				.fire = repeat_notice,
				.ctx = e,
			});
}

void sync_announce_config(struct edge *e)
{
	struct sync_state *s = &e->sync;

	struct era_version config = edge_conf_in_force(e);

	if (!e->conf || (config.era == s->announced_config.era &&
			 config.version == s->announced_config.version))
		return;
	s->announced_config = config;
	s->config_notices_left = CONFIG_NOTICE_REPEATS;
	send_notices(e);
	tmr_subscribe(
		&e->ev.timers,
		&(struct tmr_opts){
			.due_ns = e->ev.now_ns + NOTICE_REPEAT_INTERVAL_NS,
			.fire = repeat_notice,
			.ctx = e,
		});
}

/* Retries a failed read of the configuration if this VM still has to read. */
static void on_config_retry(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;

	if (!e->conf || sync_is_config_reader(e))
		sync_read_config(e, e->conf ? CONFIG_LONG_POLL_NS : 0);
}

void sync_config_done(struct edge *e, enum sync_result result, uint64_t version)
{
	struct sync_state *s = &e->sync;

	s->reading_config = false;
	if (result == SYNC_FAILED) {
		if (!s->config_failing)
			log_store_state(e, "config", "lost", true);
		s->config_failing = true;
		s->config_retry_ns = next_retry_ns(e, &s->config_backoff_ns);
		tmr_subscribe(&e->ev.timers,
			      &(struct tmr_opts){
				      .due_ns = s->config_retry_ns,
				      .fire = on_config_retry,
				      .ctx = e,
			      });
		return;
	}
	s->config_backoff_ns = RETRY_DELAY_MIN_NS;
	s->config_retry_ns = 0;
	if (s->config_failing)
		log_store_state(e, "config", "regained", false);
	s->config_failing = false;
	s->config_version = result == SYNC_TOO_OLD ? 0 : version;
	sync_announce_config(e);
	keep_long_poll(e);
	if (result == SYNC_TOO_OLD || sync_is_config_reader(e))
		sync_read_config(e, e->conf ? CONFIG_LONG_POLL_NS : 0);
}

void sync_set_config_version(struct edge *e, uint64_t config)
{
	if (config > e->sync.config_version && !e->sync.reading_config)
		e->sync.config_version = config;
}

void sync_set_versions(struct edge *e, uint64_t config, uint64_t servers)
{
	sync_set_config_version(e, config);
	if (servers > e->sync.servers_version) {
		e->sync.servers_version = servers;
		reset_changes(&e->sync, servers);
	}
	e->servers_known = true;
}

/* Tells a VM that the store was available while it could not read it, by a
 * notice without changes. Only the VMs that read in its place do so. */
static void correct_reader(struct edge *e, const struct vm_row *to)
{
	struct sync_notice n;

	if (!edge_has_state(e) || sync_rank(e) > LAST_CORRECTING_RANK)
		return;
	n = make_notice(e, e->sync.servers_version, e->sync.servers_version);
	e->sync.peers.send_notice(e->sync.peers.ctx, &n, to);
}

void sync_on_notice(struct edge *e, struct vm_row *from,
		    const struct sync_notice *n)
{
	struct sync_state *s = &e->sync;
	int64_t read_ns;
	uint32_t i;

	if (!avail_on_report(&e->store, e->ev.now_ns, &n->store))
		correct_reader(e, from);
	record_notice_rank(e, sync_rank_of(e, from));
	sync_on_peer_config(e, from, n->config);
	/* The sender reads of a store that has since returned from an older
	 * copy. */
	if (n->era < s->era)
		return;
	if (!edge_has_state(e) || n->from_version > s->servers_version) {
		sync_schedule_fetch_soon(e, SYNC_STATE, from->key);
		return;
	}
	if (n->to_version < s->servers_version)
		return;
	for (i = 0; i < n->change_count; i++)
		codec_apply_change(e, &n->changes[i]);
	if (n->to_version > s->servers_version && !s->reading_servers) {
		s->servers_version = n->to_version;
		reset_changes(s, n->to_version);
	}
	/* A VM that cannot read the servers may send notices, too: they
	 * postpone the takeover only by the reads that they tell of. */
	read_ns = e->ev.now_ns - n->store.served_age_ns;
	if (read_ns > s->last_update_ns)
		s->last_update_ns = read_ns;
	keep_long_poll(e);
	if (!s->reading_servers && !sync_is_fetching(e, SYNC_STATE) &&
	    sync_rank(e))
		sync_schedule_poll(
			e, s->last_update_ns +
				   sync_takeover_delay_ns(e, sync_rank(e)));
}

void sync_start(struct edge *e, const struct sync_store_ops *store)
{
	struct sync_state *s = &e->sync;

	s->store = *store;
	s->servers_backoff_ns = RETRY_DELAY_MIN_NS;
	s->config_backoff_ns = RETRY_DELAY_MIN_NS;
	s->last_update_ns = e->ev.now_ns;
	sync_schedule_poll(e, e->ev.now_ns + DISCOVERY_DELAY_NS);
}
