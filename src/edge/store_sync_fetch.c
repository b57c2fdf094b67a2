#include "edge_membership.h"
#include "store_sync_internal.h"

/* Fetches from peers. */
#define FETCH_TIMEOUT_NS (1000 * NS_PER_MS)
#define FETCH_CONFIG_TIMEOUT_NS (500 * NS_PER_MS)
#define FETCH_JITTER_NS (60 * NS_PER_MS)
/* Exponential backoff after failed fetches. */
#define FETCH_RETRY_MIN_NS (50 * NS_PER_MS)
#define FETCH_RETRY_DOUBLINGS 3
/* Failed fetches in a row after which the store is read; one that failed late
 * counts twice. */
#define MAX_FETCH_FAILURES 4
#define MAX_CONFIG_FETCH_FAILURES 2
/* What a VM's link has still to carry to peers when it refuses to send them
 * more, as the time that this takes. */
#define MAX_SERVE_BACKLOG_NS (200 * NS_PER_MS)

bool sync_is_fetching(const struct edge *e, enum sync_part part)
{
	const struct sync_fetch *f = &e->sync.fetches[part];

	return f->running || !hnd_eq(f->timer, HND_NONE);
}

const struct vm_row *sync_find_ready_peer(struct edge *e)
{
	uint32_t i, len = e->vms.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, (start + i) % len);

		if (vm->key != e->self && vm->ready &&
		    vm->region == e->region && vm_is_alive(e, vm))
			return vm;
	}
	return NULL;
}

static bool has_newer_config(const struct edge *e, const struct vm_row *vm)
{
	return vm->key != e->self && vm_is_alive(e, vm) && e->conf &&
	       era_is_newer(vm->config, edge_conf_newest(e));
}

/* Finds a random VM with a newer configuration, one of this region if there is
 * any; NULL for none. */
static const struct vm_row *find_newer_config(struct edge *e)
{
	uint32_t i, len = e->vms.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);
	const struct vm_row *found = NULL;

	for (i = 0; i < len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, (start + i) % len);

		if (!has_newer_config(e, vm))
			continue;
		if (vm->region == e->region)
			return vm;
		found = vm;
	}
	return found;
}

/* The VM that announced what this one lacks is asked first, as it has just been
 * alive; then any. */
static const struct vm_row *find_source(struct edge *e, enum sync_part part)
{
	struct sync_fetch *f = &e->sync.fetches[part];
	const struct vm_row *vm = vm_find(e, f->announced_by);

	f->announced_by = 0;
	if (vm)
		return vm;
	return part == SYNC_CONFIG ? find_newer_config(e)
				   : sync_find_ready_peer(e);
}

static void read_store_instead(struct edge *e, enum sync_part part)
{
	struct sync_state *s = &e->sync;

	if (part == SYNC_CONFIG) {
		if (e->ev.now_ns >= s->config_retry_ns)
			sync_read_config(e, 0);
		return;
	}
	s->fetches[part].failures = 0;
	s->fetch_failed = true;
	/* Ends the takeover delay. */
	s->last_update_ns = 0;
	if (!s->reading_servers)
		sync_schedule_poll(e, e->ev.now_ns);
}

static void begin_fetch(struct edge *e, enum sync_part part)
{
	const struct vm_row *from = find_source(e, part);
	struct sync_fetch *f = &e->sync.fetches[part];

	f->timer = HND_NONE;
	if (!from) {
		f->failures = 0;
		if (part == SYNC_STATE)
			read_store_instead(e, part);
		return;
	}
	f->running = true;
	f->started_ns = e->ev.now_ns;
	e->sync.peers.fetch(e->sync.peers.ctx, part, from,
			    part == SYNC_CONFIG ? FETCH_CONFIG_TIMEOUT_NS
						: FETCH_TIMEOUT_NS);
}

static void on_config_fetch_timer(void *ctx, int64_t now_ns)
{
	begin_fetch(ctx, SYNC_CONFIG);
}

static void on_state_fetch_timer(void *ctx, int64_t now_ns)
{
	begin_fetch(ctx, SYNC_STATE);
}

void sync_schedule_fetch(struct edge *e, enum sync_part part, int64_t due_ns)
{
	if (sync_is_fetching(e, part))
		return;
	e->sync.fetches[part].timer = tmr_subscribe(
		&e->ev.timers,
		&(struct tmr_opts){
			.due_ns = due_ns,
			.fire = part == SYNC_CONFIG ? on_config_fetch_timer
						    : on_state_fetch_timer,
			.ctx = e,
		});
}

void sync_schedule_fetch_soon(struct edge *e, enum sync_part part,
			      uint64_t announced_by)
{
	if (!sync_is_fetching(e, part))
		e->sync.fetches[part].announced_by = announced_by;
	sync_schedule_fetch(
		e, part,
		e->ev.now_ns + (int64_t)(edge_random(e) % FETCH_JITTER_NS));
}

static void schedule_fetch_retry(struct edge *e, enum sync_part part)
{
	uint32_t i, failures = e->sync.fetches[part].failures;
	int64_t delay = FETCH_RETRY_MIN_NS;

	for (i = 1; i < failures && i <= FETCH_RETRY_DOUBLINGS; i++)
		delay *= 2;
	sync_schedule_fetch(
		e, part,
		e->ev.now_ns + delay / 2 +
			(int64_t)(edge_random(e) % (uint64_t)delay));
}

static void on_fetched(struct edge *e, enum sync_part part)
{
	struct sync_state *s = &e->sync;

	s->fetches[part].failures = 0;
	/* A peer has announced it; the readers of this region do so as well,
	 * for it may be one of another region. */
	if (sync_is_config_reader(e))
		sync_announce_config(e);
	else if (e->conf)
		s->announced_config = edge_conf_in_force(e);
	if (part == SYNC_STATE) {
		s->last_update_ns = e->ev.now_ns;
		sync_schedule_poll(e, e->ev.now_ns + sync_takeover_delay_ns(
							     e, sync_rank(e)));
	}
	if (find_newer_config(e))
		sync_schedule_fetch_soon(e, SYNC_CONFIG, 0);
}

void sync_fetch_done(struct edge *e, enum sync_part part,
		     enum sync_fetch_result result)
{
	struct sync_fetch *f = &e->sync.fetches[part];
	uint32_t max = part == SYNC_CONFIG ? MAX_CONFIG_FETCH_FAILURES
					   : MAX_FETCH_FAILURES;
	/* Changes of servers must be known soon. */
	bool urgent = part == SYNC_STATE && edge_has_state(e) &&
		      result == SYNC_FETCH_FAILED;

	f->running = false;
	if (result == SYNC_FETCHED) {
		on_fetched(e, part);
		return;
	}
	f->failures += result == SYNC_FETCH_FAILED ? 2 : 1;
	if (f->failures >= max || urgent)
		read_store_instead(e, part);
	if (f->failures)
		schedule_fetch_retry(e, part);
}

void sync_on_peer_config(struct edge *e, struct vm_row *from,
			 struct era_version config)
{
	from->config = config;
	/* The state that a VM lacks holds the configuration. */
	if (edge_has_state(e) && has_newer_config(e, from))
		sync_schedule_fetch_soon(e, SYNC_CONFIG, from->key);
}

bool sync_may_serve(const struct edge *e)
{
	return edge_has_state(e) &&
	       e->sync.serve_done_ns < e->ev.now_ns + MAX_SERVE_BACKLOG_NS;
}

void sync_on_served(struct edge *e, size_t bytes)
{
	struct sync_state *s = &e->sync;
	int64_t mbps = (int64_t)e->settings.link_mbps;

	if (s->serve_done_ns < e->ev.now_ns)
		s->serve_done_ns = e->ev.now_ns;
	s->serve_done_ns += (int64_t)bytes * 8000 / (mbps > 0 ? mbps : 1);
}
