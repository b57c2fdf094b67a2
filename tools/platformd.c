/*
 * Platform stand-in: table service, object store and VM list in memory, with
 * outages, delays and lost answers on request (POST /control).
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

#include "platm.h"
#include "tmr.h"

#define MAX_BODY (64 << 20)

enum mode {
	MODE_UP,
	MODE_DOWN,
	MODE_SLOW,
	MODE_LOSE_ANSWERS,
};

enum vm_state {
	VM_LIVE,
	VM_LEAVING,
	VM_GONE,
};

static const char *const mode_names[] = {"up", "down", "slow", "lose_answers"};
static const char *const state_names[] = {"live", "leaving", "gone"};

/* A change of the VM list becomes visible at due_ns. */
struct change {
	char id[64];
	enum vm_state state;
	int64_t due_ns;
};

struct vm {
	char id[64];
	enum vm_state state;
};

struct server {
	pthread_mutex_t lock;
	struct plat_driver store;
	struct tab vms;
	struct tab changes;
	enum mode mode;
	int64_t delay_ms;
	int64_t list_lag_ms;
	uint64_t reads;
	uint64_t writes;
};

struct answer {
	int status;
	uint64_t etag;
	struct strbuf body;
};

static int find_name(const char *const *names, int count, const char *name)
{
	int i;

	for (i = 0; i < count; i++)
		if (name && !strcmp(names[i], name))
			return i;
	return -1;
}

static struct vm *find_vm(struct server *s, const char *id)
{
	uint32_t i;

	for (i = 0; i < s->vms.len; i++) {
		struct vm *vm = tab_at(&s->vms, i);

		if (!strcmp(vm->id, id))
			return vm;
	}
	return NULL;
}

static void apply_changes(struct server *s)
{
	uint32_t i;

	for (i = 0; i < s->changes.len; i++) {
		struct change *c = tab_at(&s->changes, i);
		struct vm *vm = find_vm(s, c->id);
		void *row;

		if (c->due_ns > tmr_now())
			break;
		if (!vm) {
			tab_add(&s->vms, &row);
			vm = row;
			str_copy(vm->id, sizeof(vm->id), str_from(c->id));
		}
		vm->state = c->state;
	}
	/* Deletion moves rows, so the rest is copied to keep its order. */
	if (i) {
		struct tab rest;
		void *row;

		tab_init(&rest, sizeof(struct change));
		for (; i < s->changes.len; i++) {
			tab_add(&rest, &row);
			*(struct change *)row =
				*(struct change *)tab_at(&s->changes, i);
		}
		tab_free(&s->changes);
		s->changes = rest;
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

static const char *get_text(struct json_object *o, const char *name)
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

static void set_row(struct answer *a, const struct core_plat_reply *reply)
{
	struct json_object *o = json_object_new_object();

	json_object_object_add(o, "value",
			       json_object_new_string_len(
				       reply->value.ptr ? reply->value.ptr : "",
				       (int)reply->value.len));
	strbuf_add(&a->body, str_from(json_object_to_json_string_ext(
				     o, JSON_C_TO_STRING_PLAIN)));
	json_object_put(o);
	a->etag = reply->version;
}

static uint64_t get_match(struct mg_connection *conn, bool *given)
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

static void put_row(struct server *s, struct mg_connection *conn,
		    struct core_plat_call *call, struct str body,
		    struct answer *a)
{
	struct json_object *o = read_json(body);
	const char *value = get_text(o, "value");
	struct core_plat_reply reply = {0};
	bool given;

	call->op = CORE_PLAT_CAS;
	call->expect = get_match(conn, &given);
	if (!value || !given) {
		a->status = 400;
		json_object_put(o);
		return;
	}
	call->value = str_from(value);
	s->store.call(s->store.ctx, call, &reply);
	a->status = reply.err ? 412 : 200;
	a->etag = reply.version;
	if (reply.err && reply.version)
		set_row(a, &reply);
	json_object_put(o);
}

static void serve_table(struct server *s, struct mg_connection *conn,
			bool is_put, struct str key, struct str body,
			struct answer *a)
{
	struct core_plat_call call = {.op = CORE_PLAT_GET, .key = key};
	struct core_plat_reply reply = {0};

	if (is_put) {
		put_row(s, conn, &call, body, a);
		return;
	}
	s->store.call(s->store.ctx, &call, &reply);
	a->status = reply.err ? 404 : 200;
	if (!reply.err)
		set_row(a, &reply);
}

static void serve_object(struct server *s, bool is_put, struct str key,
			 struct str body, struct answer *a)
{
	struct core_plat_call call = {
		.op = is_put ? CORE_PLAT_PUT_OBJECT : CORE_PLAT_GET_OBJECT,
		.key = key,
		.value = body,
	};
	struct core_plat_reply reply = {0};

	s->store.call(s->store.ctx, &call, &reply);
	a->status = reply.err ? 404 : 200;
	strbuf_add(&a->body, reply.value);
}

static void list_vms(struct server *s, struct answer *a)
{
	struct json_object *list = json_object_new_array();
	uint32_t i;

	for (i = 0; i < s->vms.len; i++) {
		const struct vm *vm = tab_at(&s->vms, i);
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
	strbuf_add(&a->body, str_from(json_object_to_json_string_ext(
				     list, JSON_C_TO_STRING_PLAIN)));
	json_object_put(list);
}

static void change_vm(struct server *s, struct str id, enum vm_state state)
{
	struct change *c;
	void *row;

	tab_add(&s->changes, &row);
	c = row;
	str_copy(c->id, sizeof(c->id), id);
	c->state = state;
	c->due_ns = tmr_now() + s->list_lag_ms * NS_PER_MS;
}

static void serve_vms(struct server *s, const char *method, struct str id,
		      struct str body, struct answer *a)
{
	struct json_object *o;
	int state = VM_GONE;

	apply_changes(s);
	a->status = 200;
	if (!strcmp(method, "GET")) {
		list_vms(s, a);
		return;
	}
	if (strcmp(method, "DELETE") != 0) {
		o = read_json(body);
		state = find_name(state_names, VM_GONE, get_text(o, "state"));
		json_object_put(o);
	}
	if (state < 0 || !id.len || id.len > 63)
		a->status = 400;
	else
		change_vm(s, id, (enum vm_state)state);
}

static void serve_control(struct server *s, struct str body, struct answer *a)
{
	struct json_object *o = read_json(body);
	const char *name = get_text(o, "mode");
	int mode = find_name(mode_names, 4, name);

	a->status = name && mode < 0 ? 400 : 200;
	if (mode >= 0)
		s->mode = (enum mode)mode;
	get_number(o, "delay_ms", &s->delay_ms);
	get_number(o, "list_lag_ms", &s->list_lag_ms);
	json_object_put(o);
}

static void serve(struct server *s, struct mg_connection *conn,
		  const char *method, struct str path, struct str body,
		  struct answer *a)
{
	bool is_put = !strcmp(method, "PUT");

	if (str_starts_with(path, STR("/table/")))
		serve_table(s, conn, is_put, str_skip(path, 7), body, a);
	else if (str_starts_with(path, STR("/object/")))
		serve_object(s, is_put, str_skip(path, 8), body, a);
	else if (str_starts_with(path, STR("/vms")))
		serve_vms(s, method, str_skip(path, 5), body, a);
	else
		a->status = 404;
	if (!strcmp(method, "GET"))
		s->reads++;
	else
		s->writes++;
}

/* Straight into the buffer: CivetWeb's threads have stacks of 100 KiB. */
static bool read_body(struct mg_connection *conn, struct strbuf *body)
{
	long long left = mg_get_request_info(conn)->content_length;

	if (left > MAX_BODY)
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

static void send_answer(struct mg_connection *conn, const struct answer *a)
{
	struct strbuf out;

	strbuf_init(&out);
	strbuf_addf(&out, "HTTP/1.1 %d %s\r\n", a->status,
		    mg_get_response_code_text(conn, a->status));
	if (a->etag)
		strbuf_addf(&out, "ETag: \"%llu\"\r\n",
			    (unsigned long long)a->etag);
	strbuf_addf(&out, "Content-Length: %zu\r\n\r\n", a->body.len);
	strbuf_add(&out, strbuf_view(&a->body));
	mg_write(conn, out.ptr, out.len);
	strbuf_free(&out);
}

static void wait_ms(int64_t ms)
{
	struct timespec ts = {ms / 1000, (ms % 1000) * 1000000};

	nanosleep(&ts, NULL);
}

/* False when the connection must end without an answer. */
static bool answer_service(struct server *s, struct mg_connection *conn,
			   struct str path, struct str body, struct answer *a)
{
	const char *method = mg_get_request_info(conn)->request_method;
	enum mode mode;
	int64_t delay_ms;

	pthread_mutex_lock(&s->lock);
	mode = s->mode;
	delay_ms = mode == MODE_SLOW ? s->delay_ms : 0;
	if (mode != MODE_DOWN)
		serve(s, conn, method, path, body, a);
	pthread_mutex_unlock(&s->lock);
	if (delay_ms)
		wait_ms(delay_ms);
	return mode != MODE_DOWN &&
	       (mode != MODE_LOSE_ANSWERS || !strcmp(method, "GET"));
}

static void answer_stats(struct server *s, struct answer *a)
{
	a->status = 200;
	pthread_mutex_lock(&s->lock);
	strbuf_addf(&a->body, "{\"reads\":%llu,\"writes\":%llu}\n",
		    (unsigned long long)s->reads,
		    (unsigned long long)s->writes);
	pthread_mutex_unlock(&s->lock);
}

static int on_request(struct mg_connection *conn)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct server *s = info->user_data;
	char decoded[8192];
	int n = mg_url_decode(info->request_uri, (int)strlen(info->request_uri),
			      decoded, sizeof(decoded), 0);
	struct str path = {decoded, n < 0 ? 0 : (size_t)n};
	struct answer a = {.status = 400};
	struct strbuf body;
	bool answered = true;

	strbuf_init(&body);
	strbuf_init(&a.body);
	if (!read_body(conn, &body)) {
		answered = false;
	} else if (str_eq(path, STR("/control"))) {
		pthread_mutex_lock(&s->lock);
		serve_control(s, strbuf_view(&body), &a);
		pthread_mutex_unlock(&s->lock);
	} else if (str_eq(path, STR("/stats"))) {
		answer_stats(s, &a);
	} else {
		answered =
			answer_service(s, conn, path, strbuf_view(&body), &a);
	}
	if (answered)
		send_answer(conn, &a);
	else
		mg_disable_connection_keep_alive(conn);
	strbuf_free(&body);
	strbuf_free(&a.body);
	return answered ? a.status : 500;
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
	struct server s = {.lock = PTHREAD_MUTEX_INITIALIZER};
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
	if (platm_open(&s.store, STR("platform")))
		return 1;
	tab_init(&s.vms, sizeof(struct vm));
	tab_init(&s.changes, sizeof(struct change));
	web = mg_start(&callbacks, &s, options);
	if (!web)
		return 1;
	sigwait(&set, &sig);
	mg_stop(web);
	s.store.close(s.store.ctx);
	tab_free(&s.vms);
	tab_free(&s.changes);
	return 0;
}
