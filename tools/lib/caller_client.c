#include "caller_client.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define VM_BACKOFF_NS (2 * NS_PER_S)
#define ADDRESS_RETRY_NS (200 * NS_PER_MS)
#define MAX_IDLE_NS (3 * NS_PER_S)
#define RETRY_DELAY_NS (50 * NS_PER_MS)
#define READ_BYTES 65536
#define PATTERN_PERIOD 256
/* First attempts are spread at random over the first addresses of the list. */
#define NEAREST_VMS 4

/* One request over all of its attempts, or one query for addresses. */
struct call {
	struct client *client;
	struct client_request request;
	struct strbuf target;
	struct client_vm vm;
	/*
	 * "VM.INCARNATION", with which the idempotency key begins; empty until
	 * the first attempt.
	 */
	char key_owner[128];
	int64_t started_ns;
	uint32_t attempts;
	bool is_address_query;
	struct conn *conn;
	struct hnd timeout;
	/* The current attempt has sent at least one byte. */
	bool has_sent_bytes;
	/* An earlier attempt ended with an unknown outcome. */
	bool may_have_run;
};

struct conn {
	struct client *client;
	struct client_vm vm;
	int fd;
	struct hnd watch;
	struct hnd idle_handle;
	int64_t idle_since_ns;
	bool reused;
	bool closed;
	http_parser parser;
	struct call *call;
	struct strbuf out;
	size_t out_sent;
	/* Bytes of the request body that are not in out yet. */
	uint64_t upload_left;
	struct strbuf body;
	/* Bytes of the response body, including those that are not kept. */
	uint64_t received_len;
	/* The response body differs from the expected pattern. */
	bool body_mismatch;
	/* Value of X-Currantpaddle-Outcome. */
	char outcome[16];
	bool in_outcome_header;
	bool complete;
};

struct client {
	struct client_opts opts;
	void (*done)(void *ctx, const struct client_result *result);
	void *ctx;
	struct client_vm vms[CLIENT_MAX_VMS];
	size_t vm_count;
	/* The addresses are queried again after this time. */
	int64_t expires_ns;
	bool query_pending;
	/* Advanced by each failed query. */
	size_t seed_counter;
	uint64_t random;
	/* Rows are struct conn *. */
	struct tab idle_conns;
	/* Calls that wait for the pending query; rows are struct call *. */
	struct tab waiting_calls;
	uint32_t outstanding;
	/* Byte i is i modulo 256; a view may start anywhere in the period. */
	unsigned char pattern[READ_BYTES + PATTERN_PERIOD];
};

static void start_attempt(struct call *call);
static void on_ready(void *ctx, uint32_t events);

/* xorshift64* */
static uint64_t next_random(struct client *c)
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

/* The memory is freed by a timer, since functions up the stack still use it. */
static void close_conn(struct conn *conn)
{
	if (conn->closed)
		return;
	conn->closed = true;
	tab_del(&conn->client->idle_conns, conn->idle_handle);
	loop_unwatch(conn->client->opts.loop, conn->watch);
	close(conn->fd);
	loop_add_timer(conn->client->opts.loop, 0, free_conn, conn);
}

static void add_idle_conn(struct conn *conn)
{
	void *row;

	conn->call = NULL;
	conn->idle_since_ns = tmr_now();
	conn->idle_handle = tab_add(&conn->client->idle_conns, &row);
	*(struct conn **)row = conn;
}

static struct conn *take_idle_conn(struct client *c, const struct client_vm *vm)
{
	uint32_t i;

	for (i = c->idle_conns.len; i-- > 0;) {
		struct conn *conn = *(struct conn **)tab_at(&c->idle_conns, i);

		if (tmr_now() - conn->idle_since_ns > MAX_IDLE_NS) {
			close_conn(conn);
			continue;
		}
		if (conn->vm.port != vm->port ||
		    strcmp(conn->vm.host, vm->host) != 0)
			continue;
		tab_del(&c->idle_conns, conn->idle_handle);
		conn->idle_handle = HND_NONE;
		conn->reused = true;
		return conn;
	}
	return NULL;
}

/* An idle connection or a new one; NULL when none can be opened. */
static struct conn *get_conn(struct client *c, const struct client_vm *vm)
{
	struct conn *conn = take_idle_conn(c, vm);
	int fd;

	if (conn)
		return conn;
	fd = loop_connect(NULL, vm->host, vm->port);
	if (fd < 0)
		return NULL;
	conn = calloc(1, sizeof(*conn));
	if (!conn)
		abort();
	conn->client = c;
	conn->vm = *vm;
	conn->fd = fd;
	conn->watch = loop_watch(c->opts.loop, fd, EPOLLIN, on_ready, conn);
	return conn;
}

static void free_call(struct call *call)
{
	strbuf_free(&call->target);
	free(call);
}

/* Reports the result; conn holds the body of the response, NULL for none. */
static void finish_call(struct call *call, enum client_outcome outcome,
			int status, const struct conn *conn)
{
	struct client *c = call->client;
	struct client_result r = {
		.id = call->request.id,
		.outcome = outcome,
		.status = status,
		.started_ns = call->started_ns,
		.ended_ns = tmr_now(),
		.attempts = call->attempts,
	};
	struct str body = conn ? strbuf_view(&conn->body) : STR_NONE;

	str_copy(r.server, sizeof(r.server), str_split(&body, ' '));
	c->outstanding--;
	c->done(c->ctx, &r);
	free_call(call);
}

static void on_retry(void *ctx)
{
	start_attempt(ctx);
}

/* Makes choose_vm() prefer other VMs for VM_BACKOFF_NS. */
static void back_off(struct client *c, const struct client_vm *vm)
{
	size_t i;

	for (i = 0; i < c->vm_count; i++)
		if (!strcmp(c->vms[i].host, vm->host) &&
		    c->vms[i].port == vm->port)
			c->vms[i].backoff_until_ns = tmr_now() + VM_BACKOFF_NS;
}

static void address_query_failed(struct call *call)
{
	struct client *c = call->client;

	c->query_pending = false;
	c->seed_counter++;
	c->expires_ns = tmr_now() + ADDRESS_RETRY_NS;
	free_call(call);
}

/* Retries a request whose attempt got no usable response, or ends it. */
static void attempt_failed(struct call *call, bool not_run)
{
	struct client *c = call->client;
	bool may_retry;

	loop_cancel_timer(c->opts.loop, call->timeout);
	call->conn = NULL;
	if (call->is_address_query) {
		address_query_failed(call);
		return;
	}
	back_off(c, &call->vm);
	if (!not_run)
		call->may_have_run = true;
	may_retry = not_run || call->request.idempotent || call->request.keyed;
	if (may_retry && (int)call->attempts < c->opts.max_attempts &&
	    tmr_now() - call->started_ns < c->opts.timeout_ns) {
		loop_add_timer(c->opts.loop, RETRY_DELAY_NS * call->attempts,
			       on_retry, call);
		return;
	}
	finish_call(call, call->may_have_run ? CLIENT_UNKNOWN : CLIENT_NOT_RUN,
		    0, NULL);
}

static void on_timeout(void *ctx)
{
	struct call *call = ctx;
	struct conn *conn = call->conn;
	bool sent = call->has_sent_bytes;

	call->timeout = HND_NONE;
	if (conn) {
		conn->call = NULL;
		close_conn(conn);
	}
	attempt_failed(call, !sent);
}

static void read_addresses(struct client *c, struct json_object *list)
{
	size_t i, n = json_object_array_length(list);

	c->vm_count = 0;
	for (i = 0; i < n && c->vm_count < CLIENT_MAX_VMS; i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		struct client_vm *vm = &c->vms[c->vm_count++];
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

static void start_waiting_calls(struct client *c)
{
	while (c->waiting_calls.len) {
		struct call *call =
			*(struct call **)tab_at(&c->waiting_calls, 0);

		tab_del(&c->waiting_calls, tab_handle(&c->waiting_calls, 0));
		start_attempt(call);
		if (c->query_pending)
			return;
	}
}

static void address_query_done(struct call *call, struct conn *conn)
{
	struct client *c = call->client;
	struct json_object *root = json_tokener_parse(strbuf_cstr(&conn->body));
	struct json_object *list = NULL, *ttl = NULL;

	c->query_pending = false;
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
	start_waiting_calls(c);
}

/*
 * Whether the body is the response to this request: the expected pattern, or
 * text "SERVER LOAD-ID ..." with the id of the request.
 */
static bool is_expected_response(const struct call *call,
				 const struct conn *conn)
{
	struct str body = strbuf_view(&conn->body);
	uint64_t id;

	if (call->request.response_len)
		return !conn->body_mismatch &&
		       conn->received_len == call->request.response_len;
	str_split(&body, ' ');
	return str_parse_u64(str_split(&body, ' '), &id) &&
	       id == call->request.id;
}

static void response_complete(struct conn *conn)
{
	struct call *call = conn->call;
	int status = (int)conn->parser.status_code;
	struct loop *loop = call->client->opts.loop;
	bool keep = http_should_keep_alive(&conn->parser) && conn->complete;

	loop_cancel_timer(loop, call->timeout);
	call->conn = NULL;
	conn->call = NULL;
	if (call->is_address_query) {
		if (status == 200)
			address_query_done(call, conn);
		else
			address_query_failed(call);
	} else if (status == 200) {
		finish_call(call,
			    is_expected_response(call, conn) ? CLIENT_ANSWERED
							     : CLIENT_WRONG,
			    status, conn);
	} else if (conn->outcome[0]) {
		attempt_failed(call, !strcmp(conn->outcome, "not-run"));
	} else {
		/* Error response of the backend server, not of an entry VM. */
		finish_call(call, CLIENT_ANSWERED, status, NULL);
	}
	if (keep)
		add_idle_conn(conn);
	else
		close_conn(conn);
}

static int on_field(http_parser *p, const char *at, size_t n)
{
	struct conn *conn = p->data;

	conn->in_outcome_header = str_eq_nocase((struct str){at, n},
						STR("x-currantpaddle-outcome"));
	return 0;
}

static int on_value(http_parser *p, const char *at, size_t n)
{
	struct conn *conn = p->data;

	if (conn->in_outcome_header)
		str_copy(conn->outcome, sizeof(conn->outcome),
			 (struct str){at, n});
	return 0;
}

static int on_body(http_parser *p, const char *at, size_t n)
{
	struct conn *conn = p->data;
	const struct client *c = conn->client;
	size_t i = 0;

	if (conn->call && conn->call->request.response_len) {
		while (i < n) {
			uint64_t offset =
				conn->call->request.id + conn->received_len + i;
			size_t chunk = n - i < READ_BYTES ? n - i : READ_BYTES;

			if (memcmp(c->pattern + (offset & (PATTERN_PERIOD - 1)),
				   at + i, chunk) != 0)
				conn->body_mismatch = true;
			i += chunk;
		}
	} else if (conn->body.len + n <= CLIENT_MAX_BODY) {
		strbuf_add(&conn->body, (struct str){at, n});
	}
	conn->received_len += n;
	return 0;
}

static int on_complete(http_parser *p)
{
	struct conn *conn = p->data;

	/* Interim responses, such as 100 Continue, precede the final one. */
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
		attempt_failed(call, !call->has_sent_bytes);
}

static void read_response(struct conn *conn)
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
		response_complete(conn);
	else if (!n || HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		conn_failed(conn);
}

static void write_request(struct conn *conn)
{
	struct call *call = conn->call;

	while (conn->out_sent < conn->out.len || conn->upload_left) {
		ssize_t n;

		if (conn->out_sent == conn->out.len) {
			uint64_t at = call->request.id +
				      call->request.body_len -
				      conn->upload_left;
			size_t chunk = conn->upload_left < READ_BYTES
					       ? conn->upload_left
					       : READ_BYTES;

			strbuf_set(&conn->out,
				   (struct str){
					   (const char *)conn->client->pattern +
						   (at & (PATTERN_PERIOD - 1)),
					   chunk});
			conn->out_sent = 0;
			conn->upload_left -= chunk;
		}
		n = send(conn->fd, conn->out.ptr + conn->out_sent,
			 conn->out.len - conn->out_sent, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == ENOTCONN))
			return;
		if (n <= 0) {
			conn_failed(conn);
			return;
		}
		call->has_sent_bytes = true;
		conn->out_sent += (size_t)n;
	}
	loop_set_events(conn->client->opts.loop, conn->watch, EPOLLIN);
}

static void on_ready(void *ctx, uint32_t events)
{
	struct conn *conn = ctx;

	if (conn->closed)
		return;
	if (events & EPOLLOUT && conn->call) {
		write_request(conn);
		if (conn->closed)
			return;
	}
	if (events & (EPOLLIN | EPOLLHUP | EPOLLERR))
		read_response(conn);
}

static void add_key(struct call *call, struct strbuf *out)
{
	if (!call->request.keyed)
		return;
	/* The key names the VM that the first attempt goes to. */
	if (!call->key_owner[0])
		snprintf(call->key_owner, sizeof(call->key_owner), "%s.%llu",
			 call->vm.id[0] ? call->vm.id : "x",
			 (unsigned long long)call->vm.incarnation);
	strbuf_addf(out, "Idempotency-Key: %s.%llu\r\n", call->key_owner,
		    (unsigned long long)call->request.id);
}

static void send_request(struct call *call, struct conn *conn)
{
	struct client *c = call->client;

	call->conn = conn;
	conn->call = call;
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	strbuf_reset(&conn->out);
	strbuf_reset(&conn->body);
	conn->out_sent = 0;
	conn->received_len = 0;
	conn->body_mismatch = false;
	conn->complete = false;
	conn->outcome[0] = '\0';
	conn->upload_left = call->request.body_len;
	strbuf_addf(&conn->out, "%s %.*s HTTP/1.1\r\nHost: fleet\r\n",
		    call->request.method, STR_FMT(strbuf_view(&call->target)));
	if (!call->is_address_query)
		strbuf_addf(&conn->out, "X-Load-Id: %llu\r\n",
			    (unsigned long long)call->request.id);
	add_key(call, &conn->out);
	if (call->request.body_len || strcmp(call->request.method, "GET") != 0)
		strbuf_addf(&conn->out, "Content-Length: %zu\r\n",
			    call->request.body_len);
	strbuf_add(&conn->out, STR("\r\n"));
	call->timeout = loop_add_timer(c->opts.loop, c->opts.timeout_ns,
				       on_timeout, call);
	loop_set_events(c->opts.loop, conn->watch, EPOLLIN | EPOLLOUT);
}

static struct call *new_call(struct client *c,
			     const struct client_request *request)
{
	struct call *call = calloc(1, sizeof(*call));

	if (!call)
		abort();
	call->client = c;
	call->request = *request;
	call->started_ns = tmr_now();
	strbuf_set(&call->target, request->target);
	return call;
}

static void query_addresses(struct client *c)
{
	struct client_request request = {.method = "GET", .idempotent = true};
	struct client_vm *vm =
		&c->opts.seeds[c->seed_counter % c->opts.seed_count];
	struct call *call;
	struct conn *conn;

	/* After failures, known VMs and seeds take turns. */
	if (c->vm_count && c->seed_counter % 2 == 0)
		vm = &c->vms[next_random(c) % c->vm_count];
	call = new_call(c, &request);
	call->is_address_query = true;
	call->vm = *vm;
	strbuf_addf(&call->target, "/.currantpaddle/addresses?zone=%.*s",
		    STR_FMT(c->opts.zone));
	c->query_pending = true;
	conn = get_conn(c, vm);
	if (conn)
		send_request(call, conn);
	else
		address_query_failed(call);
}

/*
 * Starts at a random one of the nearest VMs, which come first in the list, and
 * moves on by one with each attempt. Skips VMs in back-off unless all are. NULL
 * when no address is known.
 */
static const struct client_vm *choose_vm(struct client *c, uint32_t attempts)
{
	size_t spread = c->vm_count < NEAREST_VMS ? c->vm_count : NEAREST_VMS;
	size_t first, i;

	if (c->opts.direct)
		return &c->opts.seeds[0];
	if (!c->vm_count)
		return NULL;
	first = next_random(c) % spread + attempts;
	for (i = 0; i < c->vm_count; i++) {
		const struct client_vm *vm = &c->vms[(first + i) % c->vm_count];

		if (vm->backoff_until_ns <= tmr_now())
			return vm;
	}
	return &c->vms[first % c->vm_count];
}

/* Tries a call again that had no address, or queues it for a pending query. */
static void retry_address_lookup(void *ctx)
{
	struct call *call = ctx;
	struct client *c = call->client;
	void *row;

	if (tmr_now() - call->started_ns > c->opts.timeout_ns) {
		finish_call(call,
			    call->may_have_run ? CLIENT_UNKNOWN
					       : CLIENT_NOT_RUN,
			    0, NULL);
		return;
	}
	if (c->query_pending) {
		tab_add(&c->waiting_calls, &row);
		*(struct call **)row = call;
		return;
	}
	start_attempt(call);
}

static void start_attempt(struct call *call)
{
	struct client *c = call->client;
	const struct client_vm *vm;
	struct conn *conn;

	if (!c->opts.direct && !c->query_pending && tmr_now() >= c->expires_ns)
		query_addresses(c);
	vm = choose_vm(c, call->attempts);
	if (!vm) {
		loop_add_timer(c->opts.loop, ADDRESS_RETRY_NS,
			       retry_address_lookup, call);
		return;
	}
	call->vm = *vm;
	call->attempts++;
	call->has_sent_bytes = false;
	conn = get_conn(c, vm);
	if (conn)
		send_request(call, conn);
	else
		attempt_failed(call, true);
}

struct client *client_new(const struct client_opts *opts,
			  void (*done)(void *ctx,
				       const struct client_result *result),
			  void *ctx)
{
	struct client *c = calloc(1, sizeof(*c));
	size_t i;

	if (!c)
		abort();
	c->opts = *opts;
	c->done = done;
	c->ctx = ctx;
	c->random = opts->random_seed * 2 + 1;
	c->seed_counter = next_random(c) % opts->seed_count;
	for (i = 0; i < sizeof(c->pattern); i++)
		c->pattern[i] = (unsigned char)i;
	tab_init(&c->idle_conns, sizeof(struct conn *));
	tab_init(&c->waiting_calls, sizeof(struct call *));
	return c;
}

void client_free(struct client *c)
{
	while (c->idle_conns.len)
		close_conn(*(struct conn **)tab_at(&c->idle_conns, 0));
	tab_free(&c->idle_conns);
	tab_free(&c->waiting_calls);
	free(c);
}

void client_send(struct client *c, const struct client_request *request)
{
	c->outstanding++;
	start_attempt(new_call(c, request));
}

uint32_t client_outstanding(const struct client *c)
{
	return c->outstanding;
}
