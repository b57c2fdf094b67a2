/*
 * Platform simulator for tests of entry VMs: table service, object store and VM
 * list, in memory.
 *
 *   platformd ADDRESS:PORT
 *
 * POST /control injects faults: {"mode": "up" | "down" | "slow" |
 * "lose_answers", "delay_ms": N, "list_lag_ms": N}; delay_ms belongs to "slow",
 * list_lag_ms delays changes of the VM list. GET /stats returns call counts.
 */
#include <civetweb.h>
#include <json-c/json.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "platform_memory.h"
#include "timer.h"

#define MAX_BODY_BYTES (64 << 20)
/* Longest id and a NUL. */
#define VM_ID_BYTES 64

enum mode {
	MODE_UP,
	/* Closes the connection without serving the request. */
	MODE_DOWN,
	/* Responds after delay_ms. */
	MODE_SLOW,
	/* Serves writes, but closes the connection without a response. */
	MODE_LOSE_ANSWERS,
};

enum vm_state {
	VM_LIVE,
	VM_LEAVING,
	VM_GONE,
};

static const char *const mode_names[] = {"up", "down", "slow", "lose_answers"};
static const char *const state_names[] = {"live", "leaving", "gone"};

/* Pending change of the VM list; takes effect at due_ns. */
struct vm_change {
	char id[VM_ID_BYTES];
	enum vm_state state;
	int64_t due_ns;
};

struct vm {
	char id[VM_ID_BYTES];
	enum vm_state state;
};

struct platform {
	pthread_mutex_t lock;
	struct plat_driver store;
	/* Rows are struct vm. */
	struct tab vms;
	/* Rows are struct vm_change, in order of arrival. */
	struct tab changes;
	enum mode mode;
	int64_t delay_ms;
	int64_t list_lag_ms;
	uint64_t reads;
	uint64_t writes;
};

struct response {
	int status;
	uint64_t etag;
	struct strbuf body;
};

/* Index of name; -1 when it is absent or NULL. */
static int find_name(const char *const *names, int count, const char *name)
{
	int i;

	for (i = 0; i < count; i++)
		if (name && !strcmp(names[i], name))
			return i;
	return -1;
}

static struct vm *find_vm(struct platform *p, const char *id)
{
	uint32_t i;

	for (i = 0; i < p->vms.len; i++) {
		struct vm *vm = tab_at(&p->vms, i);

		if (!strcmp(vm->id, id))
			return vm;
	}
	return NULL;
}

/* Applies the changes that are due. */
static void apply_changes(struct platform *p)
{
	uint32_t i;

	for (i = 0; i < p->changes.len; i++) {
		struct vm_change *c = tab_at(&p->changes, i);
		struct vm *vm = find_vm(p, c->id);
		void *row;

		if (c->due_ns > tmr_now())
			break;
		if (!vm) {
			tab_add(&p->vms, &row);
			vm = row;
			str_copy(vm->id, sizeof(vm->id), str_from(c->id));
		}
		vm->state = c->state;
	}
	/* tab_del() would reorder the rows, so the rest is copied. */
	if (i) {
		struct tab rest;
		void *row;

		tab_init(&rest, sizeof(struct vm_change));
		for (; i < p->changes.len; i++) {
			tab_add(&rest, &row);
			*(struct vm_change *)row =
				*(struct vm_change *)tab_at(&p->changes, i);
		}
		tab_free(&p->changes);
		p->changes = rest;
	}
}

static struct json_object *read_json(struct str body)
{
	struct strbuf copy;
	struct json_object *o;

	strbuf_init(&copy);
	strbuf_add(&copy, body);
	o = json_tokener_parse(strbuf_cstr(&copy));
	strbuf_free(&copy);
	return o;
}

static const char *get_string(struct json_object *o, const char *name)
{
	struct json_object *v;

	if (!json_object_is_type(o, json_type_object) ||
	    !json_object_object_get_ex(o, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return NULL;
	return json_object_get_string(v);
}

static void get_number(struct json_object *o, const char *name, int64_t *out)
{
	struct json_object *v;

	if (json_object_is_type(o, json_type_object) &&
	    json_object_object_get_ex(o, name, &v))
		*out = json_object_get_int64(v);
}

/* Body and ETag for a row. */
static void set_row_response(struct response *resp,
			     const struct core_plat_reply *reply)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "value",
			       json_object_new_string_len(
				       reply->value.ptr ? reply->value.ptr : "",
				       (int)reply->value.len));
	strbuf_add(&resp->body, str_from(json_object_to_json_string_ext(
					o, JSON_C_TO_STRING_PLAIN)));
	json_object_put(o);
	resp->etag = reply->version;
}

/* Version in If-Match; 0, for an absent row, with If-None-Match. */
static uint64_t get_expected_version(struct mg_connection *conn, bool *given)
{
	const char *match = mg_get_header(conn, "If-Match");
	const char *none = mg_get_header(conn, "If-None-Match");
	struct str tag = str_from(match);
	uint64_t version = 0;

	*given = true;
	if (none)
		return 0;
	if (tag.len > 2 && tag.ptr[0] == '"')
		tag = (struct str){tag.ptr + 1, tag.len - 2};
	*given = str_parse_u64(tag, &version);
	return version;
}

static void put_row(struct platform *p, struct mg_connection *conn,
		    struct core_plat_call *call, struct str body,
		    struct response *resp)
{
	struct json_object *o = read_json(body);
	const char *value = get_string(o, "value");
	struct core_plat_reply reply = {0};
	bool given;

	call->op = CORE_PLAT_CAS;
	call->expect = get_expected_version(conn, &given);
	if (!value || !given) {
		resp->status = 400;
		json_object_put(o);
		return;
	}
	call->value = str_from(value);
	p->store.call(p->store.ctx, call, &reply);
	resp->status = reply.err ? 412 : 200;
	resp->etag = reply.version;
	if (reply.err && reply.version)
		set_row_response(resp, &reply);
	json_object_put(o);
}

static void serve_table(struct platform *p, struct mg_connection *conn,
			bool is_put, struct str key, struct str body,
			struct response *resp)
{
	struct core_plat_call call = {.op = CORE_PLAT_GET, .key = key};
	struct core_plat_reply reply = {0};

	if (is_put) {
		put_row(p, conn, &call, body, resp);
		return;
	}
	p->store.call(p->store.ctx, &call, &reply);
	resp->status = reply.err ? 404 : 200;
	if (!reply.err)
		set_row_response(resp, &reply);
}

static void serve_object(struct platform *p, bool is_put, struct str key,
			 struct str body, struct response *resp)
{
	struct core_plat_call call = {
		.op = is_put ? CORE_PLAT_PUT_OBJECT : CORE_PLAT_GET_OBJECT,
		.key = key,
		.value = body,
	};
	struct core_plat_reply reply = {0};

	p->store.call(p->store.ctx, &call, &reply);
	resp->status = reply.err ? 404 : 200;
	strbuf_add(&resp->body, reply.value);
}

static void write_vm_list(struct platform *p, struct response *resp)
{
	struct json_object *list = json_object_new_array();
	uint32_t i;

	for (i = 0; i < p->vms.len; i++) {
		const struct vm *vm = tab_at(&p->vms, i);
		struct json_object *o;

		if (vm->state == VM_GONE)
			continue;
		o = json_object_new_object();
		json_object_object_add(o, "id", json_object_new_string(vm->id));
		json_object_object_add(
			o, "state",
			json_object_new_string(state_names[vm->state]));
		json_object_array_add(list, o);
	}
	strbuf_add(&resp->body, str_from(json_object_to_json_string_ext(
					list, JSON_C_TO_STRING_PLAIN)));
	json_object_put(list);
}

static void schedule_vm_change(struct platform *p, struct str id,
			       enum vm_state state)
{
	struct vm_change *c;
	void *row;

	tab_add(&p->changes, &row);
	c = row;
	str_copy(c->id, sizeof(c->id), id);
	c->state = state;
	c->due_ns = tmr_now() + p->list_lag_ms * NS_PER_MS;
}

static void serve_vms(struct platform *p, const char *method, struct str id,
		      struct str body, struct response *resp)
{
	struct json_object *o;
	int state = VM_GONE;

	apply_changes(p);
	resp->status = 200;
	if (!strcmp(method, "GET")) {
		write_vm_list(p, resp);
		return;
	}
	if (strcmp(method, "DELETE") != 0) {
		o = read_json(body);
		state = find_name(state_names, VM_GONE, get_string(o, "state"));
		json_object_put(o);
	}
	if (state < 0 || !id.len || id.len > VM_ID_BYTES - 1)
		resp->status = 400;
	else
		schedule_vm_change(p, id, (enum vm_state)state);
}

static void serve_control(struct platform *p, struct str body,
			  struct response *resp)
{
	struct json_object *o = read_json(body);
	const char *name = get_string(o, "mode");
	int mode = find_name(mode_names, 4, name);

	resp->status = name && mode < 0 ? 400 : 200;
	if (mode >= 0)
		p->mode = (enum mode)mode;
	get_number(o, "delay_ms", &p->delay_ms);
	get_number(o, "list_lag_ms", &p->list_lag_ms);
	json_object_put(o);
}

static void dispatch(struct platform *p, struct mg_connection *conn,
		     const char *method, struct str path, struct str body,
		     struct response *resp)
{
	bool is_put = !strcmp(method, "PUT");

	if (str_starts_with(path, STR("/table/")))
		serve_table(p, conn, is_put, str_skip(path, 7), body, resp);
	else if (str_starts_with(path, STR("/object/")))
		serve_object(p, is_put, str_skip(path, 8), body, resp);
	else if (str_starts_with(path, STR("/vms")))
		serve_vms(p, method, str_skip(path, 5), body, resp);
	else
		resp->status = 404;
	if (!strcmp(method, "GET"))
		p->reads++;
	else
		p->writes++;
}

/* Reads into the buffer itself: CivetWeb's threads have stacks of 100 KiB. */
static bool read_body(struct mg_connection *conn, struct strbuf *body)
{
	long long left = mg_get_request_info(conn)->content_length;

	if (left > MAX_BODY_BYTES)
		return false;
	if (left > 0)
		strbuf_grow(body, (size_t)left);
	while (left > 0) {
		int n = mg_read(conn, body->ptr + body->len, (size_t)left);

		if (n <= 0)
			return false;
		body->len += (size_t)n;
		left -= n;
	}
	return true;
}

static void send_response(struct mg_connection *conn,
			  const struct response *resp)
{
	struct strbuf out;

	strbuf_init(&out);
	strbuf_addf(&out, "HTTP/1.1 %d %s\r\n", resp->status,
		    mg_get_response_code_text(conn, resp->status));
	if (resp->etag)
		strbuf_addf(&out, "ETag: \"%llu\"\r\n",
			    (unsigned long long)resp->etag);
	strbuf_addf(&out, "Content-Length: %zu\r\n\r\n", resp->body.len);
	strbuf_add(&out, strbuf_view(&resp->body));
	mg_write(conn, out.ptr, out.len);
	strbuf_free(&out);
}

static void sleep_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, (ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

/* False when the connection is to be closed without a response. */
static bool serve_with_faults(struct platform *p, struct mg_connection *conn,
			      struct str path, struct str body,
			      struct response *resp)
{
	const char *method = mg_get_request_info(conn)->request_method;
	enum mode mode;
	int64_t delay_ms;

	pthread_mutex_lock(&p->lock);
	mode = p->mode;
	delay_ms = mode == MODE_SLOW ? p->delay_ms : 0;
	if (mode != MODE_DOWN)
		dispatch(p, conn, method, path, body, resp);
	pthread_mutex_unlock(&p->lock);
	if (delay_ms)
		sleep_ms(delay_ms);
	return mode != MODE_DOWN &&
	       (mode != MODE_LOSE_ANSWERS || !strcmp(method, "GET"));
}

static void serve_stats(struct platform *p, struct response *resp)
{
	resp->status = 200;
	pthread_mutex_lock(&p->lock);
	strbuf_addf(&resp->body, "{\"reads\":%llu,\"writes\":%llu}\n",
		    (unsigned long long)p->reads,
		    (unsigned long long)p->writes);
	pthread_mutex_unlock(&p->lock);
}

static int on_request(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct platform *p = info->user_data;
	char decoded[8192];
	int n = mg_url_decode(info->request_uri, (int)strlen(info->request_uri),
			      decoded, sizeof(decoded), 0);
	struct str path = {decoded, n < 0 ? 0 : (size_t)n};
	struct response resp = {.status = 400};
	struct strbuf body;
	bool has_response = true;

	strbuf_init(&body);
	strbuf_init(&resp.body);
	if (!read_body(conn, &body)) {
		has_response = false;
	} else if (str_eq(path, STR("/control"))) {
		pthread_mutex_lock(&p->lock);
		serve_control(p, strbuf_view(&body), &resp);
		pthread_mutex_unlock(&p->lock);
	} else if (str_eq(path, STR("/stats"))) {
		serve_stats(p, &resp);
	} else {
		has_response = serve_with_faults(p, conn, path,
						 strbuf_view(&body), &resp);
	}
	if (has_response)
		send_response(conn, &resp);
	else
		mg_disable_connection_keep_alive(conn);
	strbuf_free(&body);
	strbuf_free(&resp.body);
	return has_response ? resp.status : 500;
}

int main(int argc, char **argv)
{
	struct mg_callbacks callbacks = {.begin_request = on_request};
	const char *options[] = {"listening_ports",
				 NULL,
				 "num_threads",
				 "128",
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "10000",
				 "tcp_nodelay",
				 "1",
				 NULL};
	struct platform p = {.lock = PTHREAD_MUTEX_INITIALIZER};
	struct mg_context *web;
	sigset_t set;
	int sig;

	if (argc != 2) {
		fprintf(stderr, "usage: platformd ADDRESS:PORT\n");
		return 2;
	}
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	options[1] = argv[1];
	if (plat_memory_open(&p.store, STR("platform")))
		return 1;
	tab_init(&p.vms, sizeof(struct vm));
	tab_init(&p.changes, sizeof(struct vm_change));
	web = mg_start(&callbacks, &p, options);
	if (!web)
		return 1;
	sigwait(&set, &sig);
	mg_stop(web);
	p.store.close(p.store.ctx);
	tab_free(&p.vms);
	tab_free(&p.changes);
	return 0;
}
