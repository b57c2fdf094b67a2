#include "caller_memory.h"

#include <malloc.h>
#include <stdio.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "edge_backend_connection.h"
#include "edge_http_client.h"
#include "edge_listeners.h"
#include "logs.h"
#include "metrics.h"
#include "request_internal.h"

#define MB_BYTES UINT64_C(1048576)
/* Part of the machine's memory that may be held for callers. The process needs
 * about 10 MB, and bytes in the buffers of sockets count for the machine too.
 */
#define CALLERS_PERMILLE 375
/* Part of the descriptors below which callers' connections are accepted. A
 * twentieth belongs to files; the rest is for connections to backend servers,
 * the store and other VMs. */
#define ACCEPT_PERMILLE 600
/* Epoll, signals, listeners, messages, logs and files in use. */
#define OTHER_DESCRIPTORS 20
/* Time after which a body that does not go on is given up. Callers wait for 20
 * s at most, so that none waits for a request that ends by this. */
#define BODY_STALL_NS (30 * NS_PER_S)
/* Larger buffers are returned to the system when they are freed. By default,
 * the first one that is freed raises this limit to its own size. */
#define MAX_HEAP_BUFFER_BYTES 131072

static uint64_t machine_memory_bytes(void)
{
	uint64_t kb = 0;
	FILE *f = fopen("/proc/meminfo", "re");
	char line[128];

	if (!f)
		return 0;
	while (!kb && fgets(line, sizeof(line), f)) {
		struct str value = str_from(line);
		struct str name = str_split(&value, ':');

		value = str_trim(value);
		if (str_eq(name, STR("MemTotal")) &&
		    !str_parse_u64(str_split(&value, ' '), &kb))
			break;
	}
	fclose(f);
	return kb * 1024;
}

static uint32_t machine_descriptors(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur > UINT32_MAX)
		return UINT32_MAX;
	return (uint32_t)limit.rlim_cur;
}

void cmem_set_limits(struct edge *e)
{
	uint64_t bytes = e->settings.memory_mb
				 ? (uint64_t)e->settings.memory_mb * MB_BYTES
				 : machine_memory_bytes();
	uint32_t descriptors = machine_descriptors();

	if (e->settings.max_descriptors &&
	    e->settings.max_descriptors < descriptors)
		descriptors = (uint32_t)e->settings.max_descriptors;
	mallopt(M_MMAP_THRESHOLD, MAX_HEAP_BUFFER_BYTES);
	macc_set_limit(&e->memory, bytes / 1000 * CALLERS_PERMILLE,
		       e->ev.now_ns);
	e->accept_below =
		(uint32_t)((uint64_t)descriptors * ACCEPT_PERMILLE / 1000);
}

void cmem_open(struct edge *e, struct cconn_row *c, struct hnd h, int fd)
{
	struct sockaddr_in addr = {.sin_family = AF_INET};
	socklen_t size = sizeof(addr);

	getpeername(fd, (void *)&addr, &size);
	c->account = macc_add(&e->memory, h, ntohl(addr.sin_addr.s_addr),
			      e->ev.now_ns);
}

void cmem_close(struct edge *e, struct cconn_row *c)
{
	macc_remove(&e->memory, c->account, e->ev.now_ns);
	c->account = HND_NONE;
}

static uint64_t request_bytes(const struct edge *e, const struct req_row *r)
{
	return r->id.cap + r->head.cap + r->destination.cap + r->body.cap +
	       r->fallback_fields.cap + r->fallback_body.cap +
	       bconn_held_bytes(e, r->backend_conn);
}

static bool may_have_run(const struct edge *e, const struct req_row *r)
{
	return r->may_have_run || r->state == REQ_RELAYING ||
	       bconn_sent_bytes(e, r->backend_conn) > 0;
}

static enum macc_state state_of(const struct edge *e, const struct cconn_row *c,
				const struct req_row *r)
{
	if (c->state == CCONN_READING_BODY)
		return MACC_BODY;
	if (c->out.len > c->out_sent)
		return MACC_RESPONSE;
	if (!r)
		return MACC_IDLE;
	return may_have_run(e, r) ? MACC_SENT : MACC_UNSENT;
}

/* Reading pauses only where memory grows by it. */
static bool must_pause(const struct edge *e, const struct cconn_row *c)
{
	bool discarded = c->state == CCONN_READING_BODY && c->response_done;

	return !discarded && macc_must_pause(&e->memory, c->account);
}

void cmem_update(struct edge *e, struct hnd caller)
{
	struct cconn_row *c = tab_get(&e->caller_conns, caller);
	const struct req_row *r;
	struct macc_usage usage;

	if (!c || c->closed)
		return;
	r = req_get(e, c->req);
	usage = (struct macc_usage){
		.state = state_of(e, c, r),
		.bytes = c->in.cap + c->out.cap + (r ? request_bytes(e, r) : 0),
		.progress = c->progress,
		.paused = c->body_paused || c->memory_paused,
		.no_descriptor = c->held,
	};
	macc_update(&e->memory, c->account, &usage, e->ev.now_ns);
	if (c->memory_paused || !must_pause(e, c))
		return;
	e->reading_paused_for_memory = true;
	cconn_pause_for_memory(e, caller, true);
}

void cmem_update_request(struct edge *e, struct hnd req)
{
	const struct req_row *r = req_get(e, req);

	if (r)
		cmem_update(e, r->caller);
}

/* Ends what the connection does: status for a request that was not run. */
static void give_up(struct edge *e, struct hnd caller, int status,
		    const char *why)
{
	struct cconn_row *c = tab_get(&e->caller_conns, caller);
	struct req_row *r = req_get(e, c->req);

	/* Its short refusal waits for its turn. */
	if (c->held)
		cmem_close(e, c);
	if (r && !may_have_run(e, r)) {
		ctr_add(CTR_MEMORY_REFUSED, 1);
		c->closing = true;
		req_refuse(e, r, status, why);
		cmem_update(e, caller);
		return;
	}
	ctr_add(CTR_MEMORY_CLOSED, 1);
	if (cconn_close_idle(e, caller))
		return;
	req_cancel(e, c->req, why);
	cconn_reset(e, caller);
}

static bool has_room(const struct edge *e)
{
	uint32_t open = e->caller_conns.len + e->backend_conns.len +
			e->calls.len + OTHER_DESCRIPTORS;

	return open < e->accept_below;
}

static void close_for_room(struct edge *e, struct hnd caller)
{
	give_up(e, caller, 503, "too many connections");
	/* For one that does not read the refusal. */
	cconn_reset(e, caller);
}

bool cmem_may_accept(const struct edge *e)
{
	return has_room(e) ||
	       !hnd_eq(macc_choose_for_room(&e->memory, e->ev.now_ns),
		       HND_NONE);
}

void cmem_make_room(struct edge *e)
{
	struct hnd conn;

	if (has_room(e))
		return;
	conn = macc_choose_for_room(&e->memory, e->ev.now_ns);
	if (hnd_eq(conn, HND_NONE))
		return;
	ctr_add(CTR_CLOSED_FOR_ROOM, 1);
	close_for_room(e, conn);
}

static void resume_connection(struct edge *e, struct hnd caller)
{
	cconn_pause_for_memory(e, caller, false);
	cmem_update(e, caller);
}

static void resume_reading(struct edge *e)
{
	uint32_t i;

	e->reading_paused_for_memory = false;
	for (i = 0; i < e->caller_conns.len; i++) {
		struct cconn_row *c = tab_at(&e->caller_conns, i);

		if (c->closed || !c->memory_paused)
			continue;
		if (must_pause(e, c))
			e->reading_paused_for_memory = true;
		else
			resume_connection(e, tab_handle(&e->caller_conns, i));
	}
}

void cmem_tick(struct edge *e)
{
	struct hnd caller = macc_choose(&e->memory, e->ev.now_ns);
	uint32_t count = 0;

	while (!hnd_eq(caller, HND_NONE)) {
		give_up(e, caller, 503, "out of memory");
		count++;
		caller = macc_choose(&e->memory, e->ev.now_ns);
	}
	if (count)
		logs_event(LOGS_WARNING, "memory",
			   (struct logs_field[]){
				   LOGS_INT("given_up", count),
				   LOGS_INT("held", e->memory.held),
				   LOGS_INT("limit", e->memory.limit),
			   },
			   3);
}

void cmem_resume(struct edge *e)
{
	if (e->reading_paused_for_memory)
		resume_reading(e);
	if (e->accepting_paused && cmem_may_accept(e))
		lsn_resume_accepting(e);
}

int64_t cmem_next_due(const struct edge *e)
{
	return macc_next_due(&e->memory);
}

void cmem_expire(struct edge *e)
{
	uint32_t i = e->memory.holders.len;

	while (i-- > 0) {
		const struct macc_holder *h = tab_at(&e->memory.holders, i);

		if (macc_is_stalled(h, e->ev.now_ns, BODY_STALL_NS))
			give_up(e, h->conn, 408, "body not received in time");
	}
}

void cmem_write_metrics(const struct edge *e, struct strbuf *out)
{
	strbuf_addf(out,
		    "# HELP currantpaddle_held_bytes Bytes held for callers.\n"
		    "# TYPE currantpaddle_held_bytes gauge\n"
		    "currantpaddle_held_bytes %llu\n",
		    (unsigned long long)e->memory.held);
}
