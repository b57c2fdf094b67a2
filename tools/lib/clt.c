#include "clt.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define AVOID_NS (2 * NS_PER_S)
#define ADDRESS_RETRY_NS (200 * NS_PER_MS)
#define IDLE_LIMIT_NS (3 * NS_PER_S)
#define RETRY_DELAY_NS (50 * NS_PER_MS)
#define READ_BYTES 65536

/* One attempt of one request, or a request for addresses. */
struct call {
	struct clt *clt;
	struct clt_request request;
	struct strbuf target;
	struct clt_vm vm;
	/* VM that is named as home of the idempotency key. */
	char home[128];
	int64_t started_ns;
	uint32_t attempts;
	bool for_addresses;
	struct conn *conn;
	struct hnd timeout;
	bool any_sent;
	bool maybe_run;
};

struct conn {
	struct clt *clt;
	struct clt_vm vm;
	int fd;
	struct hnd watch;
	struct hnd idle_row;
	int64_t idle_since_ns;
	bool reused;
	bool dead;
	http_parser parser;
	struct call *call;
	struct strbuf out;
	size_t out_at;
	/* Upload bytes that follow out. */
	uint64_t pattern_left;
	struct strbuf body;
	uint64_t body_len;
	bool bad_pattern;
	char outcome[16];
	bool is_outcome;
	bool complete;
};

struct clt {
	struct clt_opts opts;
	void (*done)(void *ctx, const struct clt_result *result);
	void *ctx;
	struct clt_vm vms[CLT_MAX_VMS];
	size_t vm_count;
	int64_t expires_ns;
	bool asking;
	size_t next_seed;
	uint64_t random;
	/* Idle connections: rows are struct conn *. */
	struct tab idle;
	/* Calls that wait for addresses: rows are struct call *. */
	struct tab waiting;
	uint32_t open;
	unsigned char pattern[READ_BYTES + 256];
};

static void start(struct call *call);
static void on_ready(void *ctx, uint32_t events);

static uint64_t next_random(struct clt *c)
{
	c->random ^= c->random << 13;
	c->random ^= c->random >> 7;
	c->random ^= c->random << 17;
	return c->random * UINT64_C(0x2545f4914f6cdd1d);
}

static void free_conn(void *ctx)
{
	struct conn *conn = ctx;

	strbuf_free(&conn->out);
	strbuf_free(&conn->body);
	free(conn);
}

static void close_conn(struct conn *conn)
{
	if (conn->dead)
		return;
	conn->dead = true;
	tab_del(&conn->clt->idle, conn->idle_row);
	hevt_unwatch(conn->clt->opts.loop, conn->watch);
	close(conn->fd);
	hevt_add_timer(conn->clt->opts.loop, 0, free_conn, conn);
}

static void park_conn(struct conn *conn)
{
	void *row;

	conn->call = NULL;
	conn->idle_since_ns = tmr_now();
	conn->idle_row = tab_add(&conn->clt->idle, &row);
	*(struct conn **)row = conn;
}

static struct conn *take_idle(struct clt *c, const struct clt_vm *vm)
{
	uint32_t i;

	for (i = c->idle.len; i-- > 0;) {
		struct conn *conn = *(struct conn **)tab_at(&c->idle, i);

		if (tmr_now() - conn->idle_since_ns > IDLE_LIMIT_NS) {
			close_conn(conn);
			continue;
		}
		if (conn->vm.port != vm->port ||
		    strcmp(conn->vm.host, vm->host) != 0)
			continue;
		tab_del(&c->idle, conn->idle_row);
		conn->idle_row = HND_NONE;
		conn->reused = true;
		return conn;
	}
	return NULL;
}

static struct conn *open_conn(struct clt *c, const struct clt_vm *vm)
{
	struct conn *conn = take_idle(c, vm);
	int fd;

	if (conn)
		return conn;
	fd = hevt_connect(NULL, vm->host, vm->port);
	if (fd < 0)
		return NULL;
	conn = calloc(1, sizeof(*conn));
	if (!conn)
		abort();
	conn->clt = c;
	conn->vm = *vm;
	conn->fd = fd;
	conn->watch = hevt_watch(c->opts.loop, fd, EPOLLIN, on_ready, conn);
	return conn;
}

static void free_call(struct call *call)
{
	strbuf_free(&call->target);
	free(call);
}

static void finish(struct call *call, enum clt_outcome outcome, int status,
		   const struct conn *conn)
{
	struct clt *c = call->clt;
	struct clt_result r = {
		.id = call->request.id,
		.outcome = outcome,
		.status = status,
		.started_ns = call->started_ns,
		.ended_ns = tmr_now(),
		.attempts = call->attempts,
	};
	struct str body = conn ? strbuf_view(&conn->body) : STR_NONE;

	str_copy(r.server, sizeof(r.server), str_split(&body, ' '));
	c->open--;
	c->done(c->ctx, &r);
	free_call(call);
}

static void retry_later(void *ctx)
{
	start(ctx);
}

static void avoid(struct clt *c, const struct clt_vm *vm)
{
	size_t i;

	for (i = 0; i < c->vm_count; i++)
		if (!strcmp(c->vms[i].host, vm->host) &&
		    c->vms[i].port == vm->port)
			c->vms[i].avoid_until_ns = tmr_now() + AVOID_NS;
}

static void addresses_failed(struct call *call)
{
	struct clt *c = call->clt;

	c->asking = false;
	c->next_seed++;
	c->expires_ns = tmr_now() + ADDRESS_RETRY_NS;
	free_call(call);
}

/* The attempt ended without a usable answer. */
static void attempt_failed(struct call *call, bool not_run)
{
	struct clt *c = call->clt;
	bool may_retry;

	hevt_cancel_timer(c->opts.loop, call->timeout);
	call->conn = NULL;
	if (call->for_addresses) {
		addresses_failed(call);
		return;
	}
	avoid(c, &call->vm);
	if (!not_run)
		call->maybe_run = true;
	may_retry = not_run || call->request.idempotent || call->request.keyed;
	if (may_retry && (int)call->attempts < c->opts.max_attempts &&
	    tmr_now() - call->started_ns < c->opts.timeout_ns) {
		hevt_add_timer(c->opts.loop, RETRY_DELAY_NS * call->attempts,
			       retry_later, call);
		return;
	}
	finish(call, call->maybe_run ? CLT_UNKNOWN : CLT_NOT_RUN, 0, NULL);
}

static void on_timeout(void *ctx)
{
	struct call *call = ctx;
	struct conn *conn = call->conn;
	bool sent = call->any_sent;

	call->timeout = HND_NONE;
	if (conn) {
		conn->call = NULL;
		close_conn(conn);
	}
	attempt_failed(call, !sent);
}

static void read_addresses(struct clt *c, struct json_object *list)
{
	size_t i, n = json_object_array_length(list);

	c->vm_count = 0;
	for (i = 0; i < n && c->vm_count < CLT_MAX_VMS; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		struct clt_vm *vm = &c->vms[c->vm_count++];
		struct json_object *v;

		memset(vm, 0, sizeof(*vm));
		if (json_object_object_get_ex(item, "address", &v))
			str_copy(vm->host, sizeof(vm->host),
				 str_from(json_object_get_string(v)));
		if (json_object_object_get_ex(item, "port", &v))
			vm->port = (uint16_t)json_object_get_int(v);
		if (json_object_object_get_ex(item, "vm", &v))
			str_copy(vm->id, sizeof(vm->id),
				 str_from(json_object_get_string(v)));
		if (json_object_object_get_ex(item, "incarnation", &v))
			vm->incarnation = json_object_get_uint64(v);
	}
}

static void start_waiting(struct clt *c)
{
	while (c->waiting.len) {
		struct call *call = *(struct call **)tab_at(&c->waiting, 0);

		tab_del(&c->waiting, tab_handle(&c->waiting, 0));
		start(call);
		if (c->asking)
			return;
	}
}

static void got_addresses(struct call *call, struct conn *conn)
{
	struct clt *c = call->clt;
	struct json_object *root = json_tokener_parse(strbuf_cstr(&conn->body));
	struct json_object *list = NULL, *ttl = NULL;

	c->asking = false;
	c->expires_ns = tmr_now() + ADDRESS_RETRY_NS;
	if (root && json_object_object_get_ex(root, "addresses", &list) &&
	    json_object_object_get_ex(root, "ttl_ms", &ttl)) {
		read_addresses(c, list);
		if (c->vm_count)
			c->expires_ns = tmr_now() +
					json_object_get_int64(ttl) * NS_PER_MS;
	}
	json_object_put(root);
	free_call(call);
	start_waiting(c);
}

static bool is_own_answer(const struct call *call, const struct conn *conn)
{
	struct str body = strbuf_view(&conn->body);
	uint64_t id;

	if (call->request.answer_len)
		return !conn->bad_pattern &&
		       conn->body_len == call->request.answer_len;
	str_split(&body, ' ');
	return str_parse_u64(str_split(&body, ' '), &id) &&
	       id == call->request.id;
}

static void answer_complete(struct conn *conn)
{
	struct call *call = conn->call;
	int status = (int)conn->parser.status_code;
	struct hevt *loop = call->clt->opts.loop;
	bool keep = http_should_keep_alive(&conn->parser) && conn->complete;

	hevt_cancel_timer(loop, call->timeout);
	call->conn = NULL;
	conn->call = NULL;
	if (call->for_addresses) {
		if (status == 200)
			got_addresses(call, conn);
		else
			addresses_failed(call);
	} else if (status == 200) {
		finish(call,
		       is_own_answer(call, conn) ? CLT_ANSWERED : CLT_WRONG,
		       status, conn);
	} else if (conn->outcome[0]) {
		attempt_failed(call, !strcmp(conn->outcome, "not-run"));
	} else {
		/* An error answer of the backend server itself. */
		finish(call, CLT_ANSWERED, status, NULL);
	}
	if (keep)
		park_conn(conn);
	else
		close_conn(conn);
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *conn = p->data;

	conn->is_outcome = str_eq_nocase((struct str){at, n},
					 STR("x-currantpaddle-outcome"));
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *conn = p->data;

	if (conn->is_outcome)
		str_copy(conn->outcome, sizeof(conn->outcome),
			 (struct str){at, n});
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct conn *conn = p->data;
	const struct clt *c = conn->clt;
	size_t i = 0;

	if (conn->call && conn->call->request.answer_len) {
		while (i < n) {
			uint64_t offset =
				conn->call->request.id + conn->body_len + i;
			size_t part = n - i < READ_BYTES ? n - i : READ_BYTES;

			if (memcmp(c->pattern + (offset & 255), at + i, part) !=
			    0)
				conn->bad_pattern = true;
			i += part;
		}
	} else if (conn->body.len + n <= CLT_MAX_BODY) {
		strbuf_add(&conn->body, (struct str){at, n});
	}
	conn->body_len += n;
	return 0;
}

static int on_complete(http_parser *p)
{
	struct conn *conn = p->data;

	/* 100 Continue precedes the answer. */
	if (p->status_code / 100 != 1)
		conn->complete = true;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void conn_failed(struct conn *conn)
{
	struct call *call = conn->call;

	conn->call = NULL;
	close_conn(conn);
	if (call)
		attempt_failed(call, !call->any_sent);
}

static void read_answer(struct conn *conn)
{
	static char buf[READ_BYTES];
	ssize_t n = recv(conn->fd, buf, sizeof(buf), 0);

	if (n < 0 && errno == EAGAIN)
		return;
	if (n < 0 || !conn->call) {
		conn_failed(conn);
		return;
	}
	http_parser_execute(&conn->parser, &parser_settings, buf, (size_t)n);
	if (conn->complete)
		answer_complete(conn);
	else if (!n || HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		conn_failed(conn);
}

static void write_request(struct conn *conn)
{
	struct call *call = conn->call;

	while (conn->out_at < conn->out.len || conn->pattern_left) {
		ssize_t n;

		if (conn->out_at == conn->out.len) {
			uint64_t at = call->request.id +
				      call->request.body_len -
				      conn->pattern_left;
			size_t part = conn->pattern_left < READ_BYTES
					      ? conn->pattern_left
					      : READ_BYTES;

			strbuf_set(
				&conn->out,
				(struct str){(const char *)conn->clt->pattern +
						     (at & 255),
					     part});
			conn->out_at = 0;
			conn->pattern_left -= part;
		}
		n = send(conn->fd, conn->out.ptr + conn->out_at,
			 conn->out.len - conn->out_at, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
			return;
		if (n <= 0) {
			conn_failed(conn);
			return;
		}
		call->any_sent = true;
		conn->out_at += (size_t)n;
	}
	hevt_set_events(conn->clt->opts.loop, conn->watch, EPOLLIN);
}

static void on_ready(void *ctx, uint32_t events)
{
	struct conn *conn = ctx;

	if (conn->dead)
		return;
	if (events & EPOLLOUT && conn->call) {
		write_request(conn);
		if (conn->dead)
			return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_answer(conn);
}

static void add_key(struct call *call, struct strbuf *out)
{
	if (!call->request.keyed)
		return;
	/* The first VM contacted becomes the key's home. */
	if (!call->home[0])
		snprintf(call->home, sizeof(call->home), "%s.%llu",
			 call->vm.id[0] ? call->vm.id : "x",
			 (unsigned long long)call->vm.incarnation);
	strbuf_addf(out, "Idempotency-Key: %s.%llu\r\n", call->home,
		    (unsigned long long)call->request.id);
}

static void send_call(struct call *call, struct conn *conn)
{
	struct clt *c = call->clt;

	call->conn = conn;
	conn->call = call;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	strbuf_reset(&conn->out);
	strbuf_reset(&conn->body);
	conn->out_at = 0;
	conn->body_len = 0;
	conn->bad_pattern = false;
	conn->complete = false;
	conn->outcome[0] = '\0';
	conn->pattern_left = call->request.body_len;
	strbuf_addf(&conn->out, "%s %.*s HTTP/1.1\r\nHost: fleet\r\n",
		    call->request.method, STR_FMT(strbuf_view(&call->target)));
	if (!call->for_addresses)
		strbuf_addf(&conn->out, "X-Load-Id: %llu\r\n",
			    (unsigned long long)call->request.id);
	add_key(call, &conn->out);
	if (call->request.body_len || strcmp(call->request.method, "GET") != 0)
		strbuf_addf(&conn->out, "Content-Length: %zu\r\n",
			    call->request.body_len);
	strbuf_add(&conn->out, STR("\r\n"));
	call->timeout = hevt_add_timer(c->opts.loop, c->opts.timeout_ns,
				       on_timeout, call);
	hevt_set_events(c->opts.loop, conn->watch, EPOLLIN | EPOLLOUT);
}

static struct call *new_call(struct clt *c, const struct clt_request *request)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->clt = c;
	call->request = *request;
	call->started_ns = tmr_now();
	strbuf_set(&call->target, request->target);
	return call;
}

static void ask_addresses(struct clt *c)
{
	struct clt_request request = {.method = "GET", .idempotent = true};
	struct clt_vm *vm = &c->opts.seeds[c->next_seed % c->opts.seed_count];
	struct call *call;
	struct conn *conn;

	/* VMs of the last answer are asked before the seeds. */
	if (c->vm_count && c->next_seed % 2 == 0)
		vm = &c->vms[next_random(c) % c->vm_count];
	call = new_call(c, &request);
	call->for_addresses = true;
	call->vm = *vm;
	strbuf_addf(&call->target, "/.currantpaddle/addresses?zone=%.*s",
		    STR_FMT(c->opts.zone));
	c->asking = true;
	conn = open_conn(c, vm);
	if (conn)
		send_call(call, conn);
	else
		addresses_failed(call);
}

/*
 * One of the first VMs, which are the nearest; another one on each further
 * attempt. NULL when no address is known.
 */
static const struct clt_vm *choose(struct clt *c, uint32_t attempts)
{
	size_t spread = c->vm_count < 4 ? c->vm_count : 4;
	size_t first, i;

	if (c->opts.direct)
		return &c->opts.seeds[0];
	if (!c->vm_count)
		return NULL;
	first = next_random(c) % spread + attempts;
	for (i = 0; i < c->vm_count; i++) {
		const struct clt_vm *vm = &c->vms[(first + i) % c->vm_count];

		if (vm->avoid_until_ns <= tmr_now())
			return vm;
	}
	return &c->vms[first % c->vm_count];
}

static void wait_for_addresses(void *ctx)
{
	struct call *call = ctx;
	struct clt *c = call->clt;
	void *row;

	if (tmr_now() - call->started_ns > c->opts.timeout_ns) {
		finish(call, call->maybe_run ? CLT_UNKNOWN : CLT_NOT_RUN, 0,
		       NULL);
		return;
	}
	if (c->asking) {
		tab_add(&c->waiting, &row);
		*(struct call **)row = call;
		return;
	}
	start(call);
}

static void start(struct call *call)
{
	struct clt *c = call->clt;
	const struct clt_vm *vm;
	struct conn *conn;

	if (!c->opts.direct && !c->asking && tmr_now() >= c->expires_ns)
		ask_addresses(c);
	vm = choose(c, call->attempts);
	if (!vm) {
		hevt_add_timer(c->opts.loop, ADDRESS_RETRY_NS,
			       wait_for_addresses, call);
		return;
	}
	call->vm = *vm;
	call->attempts++;
	call->any_sent = false;
	conn = open_conn(c, vm);
	if (conn)
		send_call(call, conn);
	else
		attempt_failed(call, true);
}

struct clt *clt_new(const struct clt_opts *opts,
		    void (*done)(void *ctx, const struct clt_result *result),
		    void *ctx)
{
	struct clt *c = calloc(1, sizeof(*c));
	size_t i;

	if (!c)
		abort();
	c->opts = *opts;
	c->done = done;
	c->ctx = ctx;
	c->random = opts->seed * 2 + 1;
	c->next_seed = next_random(c) % opts->seed_count;
	for (i = 0; i < sizeof(c->pattern); i++)
		c->pattern[i] = (unsigned char)i;
	tab_init(&c->idle, sizeof(struct conn *));
	tab_init(&c->waiting, sizeof(struct call *));
	return c;
}

void clt_free(struct clt *c)
{
	while (c->idle.len)
		close_conn(*(struct conn **)tab_at(&c->idle, 0));
	tab_free(&c->idle);
	tab_free(&c->waiting);
	free(c);
}

void clt_send(struct clt *c, const struct clt_request *request)
{
	c->open++;
	start(new_call(c, request));
}

uint32_t clt_open(const struct clt *c)
{
	return c->open;
}
