#include "sync.h"

#include <arpa/inet.h>
#include <string.h>

#include "call.h"
#include "logs.h"
#include "mem.h"
#include "news.h"

/* Interval between two readings of the first reader. */
#define PERIOD_NS (600 * NS_PER_MS)
/* Silence after which the second, the third and any other VM reads; all are
 * below the two seconds in which a drain must be known everywhere. */
#define SECOND_PATIENCE_NS (1000 * NS_PER_MS)
#define THIRD_PATIENCE_NS (1250 * NS_PER_MS)
#define PATIENCE_NS (1450 * NS_PER_MS)
#define PATIENCE_SPREAD_NS (300 * NS_PER_MS)
/* VMs that wait for changes of the configuration. */
#define CONFIG_READERS 2
/* A reading for changes is answered when there is one. An answer that is lost
 * is noticed only after this time, so it is below the bound for a change. */
#define CONFIG_WAIT_NS (1500 * NS_PER_MS)
/* Notices after the first one of a new configuration, and their interval. */
#define CONFIG_REPEATS 2
#define REPEAT_NS (200 * NS_PER_MS)
/* Time to hear of other VMs before the first reading. */
#define DISCOVERY_NS (300 * NS_PER_MS)
/* First pause after a failed reading; it doubles. */
#define RETRY_MIN_NS (200 * NS_PER_MS)
#define RETRY_MAX_NS (1600 * NS_PER_MS)
/* Fetches of a state from another VM. */
#define FETCH_TIMEOUT_NS (1000 * NS_PER_MS)
#define FETCH_SPREAD_NS (60 * NS_PER_MS)
static struct sync_source source;

static void on_timer(void *ctx, int64_t now_ns);
static void fetch(struct edge *e, const struct mem_row *from);

static void schedule(struct edge *e, int64_t due_ns)
{
	tmr_cancel(&e->ev.timers, e->sync.timer);
	e->sync.timer = tmr_subscribe(&e->ev.timers, &(struct tmr_opts){
							     .due_ns = due_ns,
							     .fire = on_timer,
							     .ctx = e,
						     });
}

static bool precedes(const struct mem_row *a, const struct mem_row *b)
{
	if (a->link_mbps != b->link_mbps)
		return a->link_mbps > b->link_mbps;
	return a->key < b->key;
}

uint32_t sync_rank(const struct edge *e)
{
	const struct mem_row *self = mem_self(e);
	uint32_t i, rank = 0;

	for (i = 0; i < e->members.len; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		rank += m->key != e->self && m->region == e->region &&
			m->state == MEM_ALIVE && mem_is_alive(e, m) &&
			precedes(m, self);
	}
	return rank;
}

static int64_t patience(struct edge *e, uint32_t rank)
{
	if (!rank)
		return 0;
	if (rank == 1)
		return SECOND_PATIENCE_NS;
	if (rank == 2)
		return THIRD_PATIENCE_NS;
	return PATIENCE_NS + (int64_t)(edge_random(e) % PATIENCE_SPREAD_NS);
}

/* A VM of the region that has what this one lacks, drawn by lot. */
static const struct mem_row *find_source(struct edge *e)
{
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->key != e->self && m->ready && m->region == e->region &&
		    mem_is_alive(e, m))
			return m;
	}
	return NULL;
}

static void read_config(struct edge *e, int64_t wait_ns)
{
	if (e->sync.reading_config)
		return;
	e->sync.reading_config = true;
	source.read_config(source.ctx, e->sync.config_version, wait_ns);
}

static void read_store(struct edge *e, uint32_t rank)
{
	if (!e->sync.reading_servers) {
		e->sync.reading_servers = true;
		e->sync.read_after = e->sync.servers_version;
		source.read_servers(source.ctx, e->sync.servers_version);
	}
	if (e->ev.now_ns >= e->sync.config_retry_ns)
		read_config(e, rank < CONFIG_READERS && e->conf ? CONFIG_WAIT_NS
								: 0);
}

static void on_timer(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	uint32_t rank = sync_rank(e);
	int64_t due = e->sync.heard_ns + patience(e, rank);
	const struct mem_row *from;

	e->sync.timer = HND_NONE;
	if (e->sync.reading_servers || e->sync.fetching)
		return;
	from = edge_has_state(e) ? NULL : find_source(e);
	if (from && !e->sync.fetch_failed) {
		fetch(e, from);
		return;
	}
	e->sync.fetch_failed = false;
	if (now_ns < due && !(rank < CONFIG_READERS && !edge_has_state(e))) {
		if (rank < CONFIG_READERS && edge_has_state(e))
			read_config(e, CONFIG_WAIT_NS);
		schedule(e, due);
		return;
	}
	read_store(e, rank);
}

static void log_store(const struct edge *e, const char *rows,
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

/* Between half and all of the pause, so that VMs do not call together. */
static int64_t next_retry(struct edge *e, int64_t *retry_ns)
{
	int64_t pause = *retry_ns;

	if (*retry_ns < RETRY_MAX_NS)
		*retry_ns *= 2;
	return e->ev.now_ns + pause / 2 +
	       (int64_t)(edge_random(e) % (uint64_t)pause) / 2;
}

/* Sends rows[first..last) as all changes after version from. */
static void notify_part(struct edge *e, uint64_t from, uint64_t to,
			uint32_t first, uint32_t last)
{
	const struct sync_changes *c = &e->sync.changes;
	struct sync_notice n = {
		.config = e->conf->version,
		.from = from,
		.to = to,
		.store_back_ns =
			e->store_back_ns ? e->ev.now_ns - e->store_back_ns : 0,
		.row_count = last - first,
	};
	uint32_t i;

	for (i = first; i < last; i++) {
		n.rows[i - first] = c->rows[i];
		n.rows[i - first].report.id = str_from(c->rows[i].id);
	}
	news_notice(e, &n);
}

/* First row after a version. */
static uint32_t find_row(const struct sync_changes *c, uint64_t after)
{
	uint32_t i = c->count;

	while (i > 0 && c->rows[i - 1].report.version > after)
		i--;
	return i;
}

/* Passes on the last reading, and those before it while all fit a message. */
static void notify(struct edge *e)
{
	const struct sync_changes *c = &e->sync.changes;
	uint64_t to = e->sync.servers_version, from = c->readings[0];
	uint32_t i, first;

	if (!edge_has_state(e))
		return;
	for (i = 1; i < SYNC_REPEATED; i++)
		if (c->readings[i] >= c->from && c->readings[i] &&
		    c->count - find_row(c, c->readings[i]) <= SYNC_MAX_ROWS)
			from = c->readings[i];
	/* Changes that were not kept are a gap, which the others fill. */
	if (!from || from < c->from)
		from = to;
	for (first = find_row(c, from); c->count - first > SYNC_MAX_ROWS;
	     first += SYNC_MAX_ROWS) {
		uint32_t last = first + SYNC_MAX_ROWS;
		uint64_t upto = c->rows[last - 1].report.version;

		notify_part(e, from, upto, first, last);
		from = upto;
	}
	notify_part(e, from, to, first, c->count);
}

void sync_row(struct edge *e, const struct cdc_row *row)
{
	struct sync_changes *c = &e->sync.changes;
	struct cdc_row *copy;

	cdc_apply(e, row);
	if (!e->sync.read_after)
		return;
	if (c->count == SYNC_KEPT_ROWS) {
		uint32_t half = SYNC_KEPT_ROWS / 2;

		c->from = c->rows[half - 1].report.version;
		memmove(&c->rows[0], &c->rows[half], half * sizeof(c->rows[0]));
		c->count = half;
	}
	copy = &c->rows[c->count++];
	*copy = *row;
	str_copy(copy->id, sizeof(copy->id), row->report.id);
}

/* What was kept does not lead up to this version. */
static void forget_changes(struct sync_state *s, uint64_t version)
{
	s->changes.count = 0;
	s->changes.from = version;
	memset(s->changes.readings, 0, sizeof(s->changes.readings));
}

static void end_reading(struct sync_state *s, uint64_t version)
{
	struct sync_changes *c = &s->changes;

	if (!s->read_after) {
		forget_changes(s, version);
		return;
	}
	memmove(&c->readings[1], &c->readings[0],
		(SYNC_REPEATED - 1) * sizeof(c->readings[0]));
	c->readings[0] = s->read_after;
}

static void fail_servers(struct edge *e)
{
	struct sync_state *s = &e->sync;

	edge_set_store(e, false);
	if (!s->servers_failing)
		log_store(e, "servers", "lost", true);
	s->servers_failing = true;
	schedule(e, next_retry(e, &s->servers_pause_ns));
}

/* The store is back: a call from before may never be answered. */
static void restart_config(struct edge *e)
{
	struct sync_state *s = &e->sync;

	if (s->reading_config)
		source.cancel_config(source.ctx);
	s->reading_config = false;
	s->config_retry_ns = 0;
	s->config_pause_ns = RETRY_MIN_NS;
	read_config(e, 0);
}

void sync_servers_done(struct edge *e, enum sync_result result,
		       uint64_t version)
{
	struct sync_state *s = &e->sync;

	s->reading_servers = false;
	if (result == SYNC_FAILED) {
		fail_servers(e);
		return;
	}
	edge_set_store(e, true);
	s->servers_pause_ns = RETRY_MIN_NS;
	if (s->servers_failing) {
		log_store(e, "servers", "regained", false);
		restart_config(e);
	}
	s->servers_failing = false;
	if (result == SYNC_TOO_OLD) {
		log_store(e, "servers", "history gone", false);
		s->servers_version = 0;
		schedule(e, e->ev.now_ns);
		return;
	}
	end_reading(s, version);
	if (version > s->servers_version)
		s->servers_version = version;
	e->servers_known = true;
	s->heard_ns = e->ev.now_ns;
	notify(e);
	schedule(e, e->ev.now_ns + (sync_rank(e) ? patience(e, sync_rank(e))
						 : PERIOD_NS));
}

/* A notice may be lost, and the first reader sends its own version only. */
static void repeat_notice(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;

	notify(e);
	if (e->sync.repeats_left && --e->sync.repeats_left)
		tmr_subscribe(&e->ev.timers,
			      &(struct tmr_opts){
				      .due_ns = now_ns + REPEAT_NS,
				      .fire = repeat_notice,
				      .ctx = e,
			      });
}

/* A failed reading of the configuration is repeated by those who read. */
static void config_due(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;

	if (!e->conf || sync_rank(e) < CONFIG_READERS)
		read_config(e, e->conf ? CONFIG_WAIT_NS : 0);
}

void sync_config_done(struct edge *e, enum sync_result result, uint64_t version)
{
	struct sync_state *s = &e->sync;

	s->reading_config = false;
	if (result == SYNC_FAILED) {
		if (!s->config_failing)
			log_store(e, "config", "lost", true);
		s->config_failing = true;
		s->config_retry_ns = next_retry(e, &s->config_pause_ns);
		tmr_subscribe(&e->ev.timers,
			      &(struct tmr_opts){
				      .due_ns = s->config_retry_ns,
				      .fire = config_due,
				      .ctx = e,
			      });
		return;
	}
	s->config_pause_ns = RETRY_MIN_NS;
	s->config_retry_ns = 0;
	if (s->config_failing)
		log_store(e, "config", "regained", false);
	s->config_failing = false;
	s->config_version = result == SYNC_TOO_OLD ? 0 : version;
	if (e->conf && e->conf->version != s->notified_config) {
		s->notified_config = e->conf->version;
		s->repeats_left = CONFIG_REPEATS;
		notify(e);
		tmr_subscribe(&e->ev.timers,
			      &(struct tmr_opts){
				      .due_ns = e->ev.now_ns + REPEAT_NS,
				      .fire = repeat_notice,
				      .ctx = e,
			      });
	}
	if (result == SYNC_TOO_OLD || sync_rank(e) < CONFIG_READERS)
		read_config(e, e->conf ? CONFIG_WAIT_NS : 0);
}

void sync_set_versions(struct edge *e, uint64_t config, uint64_t servers)
{
	if (config > e->sync.config_version && !e->sync.reading_config)
		e->sync.config_version = config;
	if (servers > e->sync.servers_version) {
		e->sync.servers_version = servers;
		forget_changes(&e->sync, servers);
	}
	e->servers_known = true;
}

static void on_state(void *ctx, const struct call_result *result)
{
	struct edge *e = ctx;
	struct sync_state *s = &e->sync;
	bool ok = !result->err && result->status == 200 &&
		  !cdc_read_state(e, result->body);

	s->fetching = false;
	if (ok) {
		s->heard_ns = e->ev.now_ns;
		logs_event(
			LOGS_INFO, "state",
			(struct logs_field[]){
				LOGS_INT("config",
					 e->conf ? e->conf->version : 0),
				LOGS_INT("servers_version", s->servers_version),
				LOGS_INT("bytes", result->body.len),
			},
			3);
	} else {
		logs_event(LOGS_WARNING, "state_failed",
			   (struct logs_field[]){
				   LOGS_STR("error",
					    str_from(err_name(result->err))),
				   LOGS_INT("status", result->status),
			   },
			   2);
		s->fetch_failed = true;
		/* The store is asked at once instead. */
		s->heard_ns = 0;
	}
	schedule(e,
		 ok ? e->ev.now_ns + patience(e, sync_rank(e)) : e->ev.now_ns);
}

static void fetch(struct edge *e, const struct mem_row *from)
{
	struct sockaddr_in addr = from->peer;
	struct strbuf target;

	addr.sin_port = e->set.control.sin_port;
	e->sync.fetching = true;
	strbuf_init(&target);
	strbuf_addf(&target, "/state?config=%llu",
		    (unsigned long long)(e->conf ? e->conf->version : 0));
	call_set_address(e, e->sync.peer, &addr);
	call_begin(e, e->sync.peer,
		   &(struct call_request){
			   .method = "GET",
			   .target = strbuf_view(&target),
			   .timeout_ns = FETCH_TIMEOUT_NS,
			   .done = on_state,
			   .ctx = e,
		   });
	strbuf_free(&target);
}

static void fetch_due(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	const struct mem_row *m = mem_find(e, e->sync.fetch_from);

	e->sync.fetch_planned = false;
	if (m && !e->sync.fetching)
		fetch(e, m);
}

/* VMs that lack the same do not ask all at the same moment. */
static void plan_fetch(struct edge *e, const struct mem_row *from)
{
	if (e->sync.fetch_planned || e->sync.fetching)
		return;
	e->sync.fetch_planned = true;
	e->sync.fetch_from = from->key;
	tmr_subscribe(
		&e->ev.timers,
		&(struct tmr_opts){
			.due_ns = e->ev.now_ns +
				  (int64_t)(edge_random(e) % FETCH_SPREAD_NS),
			.fire = fetch_due,
			.ctx = e,
		});
}

void sync_hear(struct edge *e, const struct mem_row *from,
	       const struct sync_notice *n)
{
	struct sync_state *s = &e->sync;
	uint32_t i;

	/* A reader of the configuration may be behind with the servers. */
	if (!edge_has_state(e) || n->config > e->conf->version ||
	    n->from > s->servers_version) {
		plan_fetch(e, from);
		return;
	}
	if (n->to < s->servers_version)
		return;
	if (n->store_back_ns &&
	    e->ev.now_ns - n->store_back_ns > e->store_back_ns)
		e->store_back_ns = e->ev.now_ns - n->store_back_ns;
	for (i = 0; i < n->row_count; i++)
		cdc_apply(e, &n->rows[i]);
	if (n->to > s->servers_version && !s->reading_servers) {
		s->servers_version = n->to;
		forget_changes(s, n->to);
	}
	s->heard_ns = e->ev.now_ns;
	if (!s->reading_servers && !s->fetching && sync_rank(e))
		schedule(e, e->ev.now_ns + patience(e, sync_rank(e)));
}

void sync_start(struct edge *e, const struct sync_source *from)
{
	struct sync_state *s = &e->sync;

	source = *from;
	s->servers_pause_ns = RETRY_MIN_NS;
	s->config_pause_ns = RETRY_MIN_NS;
	s->heard_ns = e->ev.now_ns;
	s->peer = call_new(e, &e->set.address);
	schedule(e, e->ev.now_ns + DISCOVERY_NS);
}
