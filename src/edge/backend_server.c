#include "backend_server.h"

#include <ctype.h>
#include <string.h>

#include "logs.h"

/* Time for which a server that said that it is leaving is remembered after its
 * row is gone, as its row may come back. */
#define LEAVING_MEMORY_NS (60 * NS_PER_S)

/* Time for which a server that is gone is remembered where the store names its
 * era: the store may return from a copy, some seconds old, that still lists it.
 * If the copy's row stays longer than its server lives without a heartbeat, the
 * server is alive. */
#define GONE_MEMORY_NS (30 * NS_PER_S)

bool srv_is_valid_id(struct str id)
{
	size_t i;

	for (i = 0; i < id.len; i++) {
		unsigned char c = (unsigned char)id.ptr[i];

		if (!isalnum(c) && (!c || !strchr("-._:@+~", c)))
			return false;
	}
	return id.len && id.len < EDGE_ID_BYTES;
}

struct srv_row *srv_find(struct edge *e, uint64_t key, struct hnd *handle)
{
	struct hnd h = idx_get(&e->server_by_key, key);

	if (handle)
		*handle = h;
	return tab_get(&e->servers, h);
}

uint32_t srv_short_key(uint64_t key)
{
	uint32_t short_key = (uint32_t)key;

	return short_key ? short_key : 1;
}

struct srv_row *srv_find_short_key(struct edge *e, uint32_t short_key)
{
	return tab_get(&e->servers,
		       idx_get(&e->server_by_short_key, short_key));
}

static void log_server(const struct srv_row *s, const char *change)
{
	logs_event(LOGS_INFO, "server",
		   (struct logs_field[]){
			   LOGS_STR("change", str_from(change)),
			   LOGS_STR("server", str_from(s->id)),
			   LOGS_INT("version", s->version),
			   LOGS_INT("in_flight", s->in_flight),
		   },
		   4);
}

static struct srv_row *add(struct edge *e, const struct srv_report *r)
{
	uint64_t key = edge_key(r->id);
	struct hnd h;
	void *row;
	struct srv_row *s;

	h = tab_add(&e->servers, &row);
	s = row;
	str_copy(s->id, sizeof(s->id), r->id);
	s->key = key;
	s->discovered_ns = e->ev.now_ns;
	s->read_generation = e->read_generation;
	idx_put(&e->server_by_key, key, h);
	idx_put(&e->server_by_short_key, srv_short_key(key), h);
	return s;
}

static void add_to_service(struct edge *e, struct srv_row *s, uint64_t service)
{
	struct hnd h = idx_get(&e->server_by_key, s->key);
	struct svc_row *svc = edge_service(e, service);
	struct srv_row *first = tab_get(&e->servers, svc->first_server);

	s->service = service;
	s->prev = HND_NONE;
	s->next = svc->first_server;
	if (first)
		first->prev = h;
	svc->first_server = h;
}

static void remove_from_service(struct edge *e, struct srv_row *s)
{
	struct srv_row *next = tab_get(&e->servers, s->next);
	struct srv_row *prev = tab_get(&e->servers, s->prev);

	if (!s->service)
		return;
	if (next)
		next->prev = s->prev;
	if (prev)
		prev->next = s->next;
	else
		edge_service(e, s->service)->first_server = s->next;
}

struct srv_row *srv_first(struct edge *e, uint64_t service, struct hnd *handle)
{
	*handle = edge_service(e, service)->first_server;
	return tab_get(&e->servers, *handle);
}

struct srv_row *srv_next(const struct edge *e, const struct srv_row *s,
			 struct hnd *handle)
{
	*handle = s->next;
	return tab_get(&e->servers, *handle);
}

/* The connections to the former process or address, and what it owes, no longer
 * count. */
static void begin_generation(const struct edge *e, struct srv_row *s)
{
	s->generation++;
	s->in_flight = 0;
	s->idle_connections = 0;
	s->owed = 0;
	s->owed_ns = e->ev.now_ns;
}

/* Resets the health, which was that of the incarnation before a restart. */
static void reset_health(struct srv_row *s)
{
	s->paused_until_ns = 0;
	s->path_down_until_ns = 0;
	s->path_failures = 0;
	s->ejected = false;
	s->score = 0;
	s->trial_successes = 0;
	s->trial_failures = 0;
	s->full_until_ns = 0;
}

bool srv_set_leaving(struct edge *e, struct srv_row *s, int64_t start_time_ms)
{
	bool known = s->said_leaving && s->leaving_start_ms >= start_time_ms;

	if (known || start_time_ms < s->start_time_ms)
		return false;
	s->said_leaving = true;
	s->leaving_start_ms = start_time_ms;
	if (s->state == SRV_READY)
		s->state = SRV_DRAINING;
	log_server(s, "leaving");
	return true;
}

void srv_pause(struct edge *e, struct srv_row *s, int64_t until_ns)
{
	if (until_ns <= s->paused_until_ns)
		return;
	s->paused_until_ns = until_ns;
	logs_event(
		LOGS_INFO, "server_paused",
		(struct logs_field[]){
			LOGS_STR("server", str_from(s->id)),
			LOGS_INT("ms", (until_ns - e->ev.now_ns) / NS_PER_MS),
		},
		2);
}

bool srv_is_paused(const struct edge *e, const struct srv_row *s)
{
	return e->ev.now_ns < s->paused_until_ns;
}

/* True for the row of another incarnation than the known one, which counts its
 * sequence anew. */
static bool is_restart(const struct srv_row *s, const struct srv_report *r)
{
	return r->start_time_ms != s->start_time_ms ||
	       (r->version > s->version && r->seq < s->seq);
}

/* A server that said that it is leaving stays in a drain even if its row still
 * says that it is ready. */
static enum srv_state reported_state(const struct srv_row *s,
				     const struct srv_report *r)
{
	if (r->draining ||
	    (s->said_leaving && s->leaving_start_ms >= r->start_time_ms))
		return SRV_DRAINING;
	return SRV_READY;
}

/* True for a row of an older copy of the store, as far as its contents tell: by
 * the incarnation, then by the sequence. A server that has left wrote nothing
 * after its last row. */
static bool is_of_older_copy(const struct edge *e, const struct srv_row *s,
			     const struct srv_report *r)
{
	if (e->sync.era == ERA_NONE || s->version)
		return false;
	if (r->start_time_ms != s->start_time_ms)
		return r->start_time_ms < s->start_time_ms;
	return s->state == SRV_GONE ? r->seq <= s->seq : r->seq < s->seq;
}

/* What the server said since holds until its row is written again. */
static void keep_newer_row(struct srv_row *s, const struct srv_report *r)
{
	s->missing = false;
	s->listed_by_copy = s->state == SRV_GONE && !r->draining;
}

static bool is_same_address(const struct sockaddr_in *a,
			    const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

void srv_update(struct edge *e, const struct srv_report *r)
{
	struct srv_row *s = srv_find(e, edge_key(r->id), NULL);
	enum srv_state state;
	bool added = !s;

	if (s)
		s->read_generation = e->read_generation;
	if (s && r->version < s->version)
		return;
	if (s && is_of_older_copy(e, s, r)) {
		keep_newer_row(s, r);
		return;
	}
	if (!s)
		s = add(e, r);
	if (!added && is_restart(s, r)) {
		log_server(s, "restarted");
		reset_health(s);
		if (r->start_time_ms <= s->start_time_ms)
			s->said_leaving = false;
		s->discovered_ns = e->ev.now_ns;
		begin_generation(e, s);
	}
	if (!added && !is_same_address(&s->addr, &r->addr))
		begin_generation(e, s);
	state = reported_state(s, r);
	if (added || s->state != state) {
		s->version = r->version;
		log_server(s, added ? "listed"
				    : (state == SRV_DRAINING ? "draining"
							     : "ready"));
	}
	if (s->service != r->service) {
		remove_from_service(e, s);
		add_to_service(e, s, r->service);
	}
	s->zone = r->zone;
	s->region = eset_region_of_zone(&e->settings, r->zone);
	s->addr = r->addr;
	s->slots = r->slots;
	s->state = state;
	s->start_time_ms = r->start_time_ms;
	s->seq = r->seq;
	s->version = r->version;
	s->slow_start_until_ns = e->ev.now_ns + r->slow_start_left_ns;
	s->missing = false;
	s->listed_by_copy = false;
}

static int64_t later(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* The row may come back, and the server is still the same one: it wants no
 * requests in its pause, and none at all if it is leaving. */
static void set_gone(struct edge *e, struct srv_row *s)
{
	s->state = SRV_GONE;
	s->missing = false;
	s->delete_ns = s->paused_until_ns;
	if (s->said_leaving)
		s->delete_ns =
			later(s->delete_ns, e->ev.now_ns + LEAVING_MEMORY_NS);
	if (e->sync.era != ERA_NONE)
		s->delete_ns =
			later(s->delete_ns, e->ev.now_ns + GONE_MEMORY_NS);
}

static bool is_in_use(const struct srv_row *s)
{
	return s->in_flight || s->idle_connections;
}

static void start_removal(struct edge *e, struct srv_row *s)
{
	s->listed_by_copy = false;
	if (s->state == SRV_GONE || s->missing)
		return;
	s->missing = true;
	e->server_removal_pending = true;
	log_server(s, "missing");
}

void srv_set_missing(struct edge *e, struct str id, uint64_t version)
{
	struct srv_row *s = srv_find(e, edge_key(id), NULL);

	if (!s || version < s->version)
		return;
	s->version = version;
	start_removal(e, s);
}

void srv_keep(struct edge *e, struct str id)
{
	struct srv_row *s = srv_find(e, edge_key(id), NULL);

	if (s)
		s->read_generation = e->read_generation;
}

void srv_set_replaced(struct edge *e, struct srv_row *s)
{
	set_gone(e, s);
	begin_generation(e, s);
	e->server_removal_pending = true;
}

void srv_begin_era(struct edge *e)
{
	uint32_t i;

	for (i = 0; i < e->servers.len; i++) {
		struct srv_row *s = tab_at(&e->servers, i);

		s->version = 0;
	}
}

uint32_t srv_begin_full_read(struct edge *e)
{
	return ++e->read_generation;
}

void srv_finish_full_read(struct edge *e, uint32_t number, uint64_t version)
{
	uint32_t i;

	for (i = 0; i < e->servers.len; i++) {
		struct srv_row *s = tab_at(&e->servers, i);

		if (s->read_generation >= number || s->version > version)
			continue;
		start_removal(e, s);
		/* A later row is one of this era. */
		if (!s->version)
			s->version = version;
	}
}

/* When all servers that live have registered again. */
static int64_t registered_ns(const struct edge *e)
{
	return later(avail_registered_ns(&e->store), e->sync.era_registered_ns);
}

/* The copy's row has outlived what it would if its server had left. */
static void list_again(struct srv_row *s)
{
	s->listed_by_copy = false;
	s->state = s->said_leaving ? SRV_DRAINING : SRV_READY;
	log_server(s, "listed");
}

void srv_tick(struct edge *e, int64_t now_ns)
{
	int64_t due_ns = registered_ns(e);
	uint32_t i = e->servers.len;

	if (!e->server_removal_pending && now_ns < e->server_delete_ns)
		return;
	e->server_removal_pending = false;
	e->server_delete_ns = TMR_NEVER;
	while (i-- > 0) {
		struct srv_row *s = tab_at(&e->servers, i);

		if (s->missing && due_ns <= now_ns) {
			set_gone(e, s);
			log_server(s, "gone");
		}
		e->server_removal_pending |=
			s->missing || (s->state == SRV_GONE && is_in_use(s));
		if (s->state != SRV_GONE || is_in_use(s))
			continue;
		if (now_ns < s->delete_ns) {
			e->server_delete_ns =
				earlier(e->server_delete_ns, s->delete_ns);
			continue;
		}
		if (s->listed_by_copy) {
			list_again(s);
			continue;
		}
		remove_from_service(e, s);
		idx_del(&e->server_by_key, s->key);
		idx_del(&e->server_by_short_key, srv_short_key(s->key));
		tab_del(&e->servers, tab_handle(&e->servers, i));
	}
}

int64_t srv_next_due(const struct edge *e)
{
	uint32_t i;

	for (i = 0; e->server_removal_pending && i < e->servers.len; i++) {
		const struct srv_row *s = tab_at(&e->servers, i);

		if (s->missing)
			return earlier(registered_ns(e), e->server_delete_ns);
	}
	return e->server_delete_ns;
}
