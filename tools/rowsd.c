/*
 * Stand-in of the users' store: rows with versions, conditional transactions,
 * ranges and the feed of changes, in memory.
 *
 *   rowsd ADDRESS:PORT [WRITES_PER_S READS_PER_S]
 *
 * POST /control changes its behaviour: {"mode": "up" | "down" | "busy" |
 * "slow" | "silent" | "lose" | "lose_before", "delay_ms": N, "clients":
 * ["ADDRESS", ...]} (clients: for these only; otherwise for all), or
 * {"forget": true}, which drops the history of the feed. GET /stats counts
 * calls. Writes to the tables "op" and "servers" need the header X-Operator.
 */
#include <civetweb.h>
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "str.h"
#include "tab.h"
#include "tmr.h"

#define MAX_BODY (9 << 20)
#define MAX_ROWS 500
#define MAX_ENTRIES 100
#define NAME_BYTES 201
#define POLL_MS 10
#define SILENT_MS 60000

struct row {
	char table[NAME_BYTES];
	char part[NAME_BYTES];
	char key[NAME_BYTES];
	char *value;
	uint64_t ver;
	/* Kept for the feed only. */
	bool deleted;
};

enum mode {
	MODE_UP,
	MODE_DOWN,
	MODE_BUSY,
	MODE_SLOW,
	MODE_SILENT,
	/* The call is done, its answer is lost. */
	MODE_LOSE,
	/* The call is not done, and not answered. */
	MODE_LOSE_BEFORE,
};

static const char *const mode_names[] = {
	"up", "down", "busy", "slow", "silent", "lose", "lose_before",
};

static struct {
	pthread_mutex_t lock;
	struct row *rows;
	size_t count, cap;
	uint64_t ver;
	/* Changes up to this version are no longer in the feed. */
	uint64_t forgotten;
	enum mode mode;
	int64_t delay_ms;
	char clients[512];
	uint64_t reads, writes, refused;
	/* Calls a second, and those of the current one. */
	uint64_t max_reads, max_writes;
	uint64_t second_reads, second_writes;
	int64_t second_ns;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER};

static int send_json(struct mg_connection *c, int status, const char *body)
{
	mg_printf(c,
		  "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
		  "Content-Length: %zu\r\n\r\n%s",
		  status, strlen(body), body);
	return status;
}

/* An answer that never comes: the connection ends without one. */
static int send_nothing(struct mg_connection *c)
{
	mg_close_connection(c);
	return 200;
}

static bool read_body(struct mg_connection *c, struct strbuf *out)
{
	char buf[8192];
	int n;

	while ((n = mg_read(c, buf, sizeof(buf))) > 0) {
		strbuf_add(out, (struct str){buf, (size_t)n});
		if (out->len > MAX_BODY)
			return false;
	}
	return true;
}

static void get_arg(struct mg_connection *c, const char *name, char *out,
		    size_t size)
{
	const char *query = mg_get_request_info(c)->query_string;

	out[0] = '\0';
	if (query)
		mg_get_var(query, strlen(query), name, out, size);
}

static uint64_t number_arg(struct mg_connection *c, const char *name)
{
	char text[32];

	get_arg(c, name, text, sizeof(text));
	return strtoull(text, NULL, 10);
}

static const char *text_of(struct json_object *o, const char *name)
{
	struct json_object *v = json_object_object_get(o, name);

	return v ? json_object_get_string(v) : "";
}

/* True when the mode applies to this caller. */
static bool is_affected(struct mg_connection *c)
{
	return !store.clients[0] ||
	       strstr(store.clients, mg_get_request_info(c)->remote_addr);
}

/* Counts a call; returns the mode that it meets. */
static enum mode admit(struct mg_connection *c, bool write)
{
	enum mode mode;
	int64_t now = tmr_now(), delay;

	pthread_mutex_lock(&store.lock);
	if (now - store.second_ns >= NS_PER_S) {
		store.second_ns = now;
		store.second_reads = store.second_writes = 0;
	}
	*(write ? &store.writes : &store.reads) += 1;
	*(write ? &store.second_writes : &store.second_reads) += 1;
	mode = is_affected(c) ? store.mode : MODE_UP;
	if ((store.max_writes && store.second_writes > store.max_writes) ||
	    (store.max_reads && store.second_reads > store.max_reads))
		mode = MODE_BUSY;
	store.refused += mode == MODE_DOWN || mode == MODE_BUSY;
	delay = mode == MODE_SLOW ? store.delay_ms
				  : (mode == MODE_SILENT ? SILENT_MS : 0);
	pthread_mutex_unlock(&store.lock);
	if (delay)
		usleep((useconds_t)(delay * 1000));
	return mode;
}

static struct row *find_row(const char *table, const char *part,
			    const char *key)
{
	size_t i;

	for (i = 0; i < store.count; i++) {
		struct row *r = &store.rows[i];

		if (!strcmp(r->table, table) && !strcmp(r->part, part) &&
		    !strcmp(r->key, key))
			return r;
	}
	return NULL;
}

static void set_row(const char *table, const char *part, const char *key,
		    const char *value)
{
	struct row *r = find_row(table, part, key);

	if (!r && store.count == store.cap) {
		store.cap = store.cap ? store.cap * 2 : 64;
		store.rows =
			realloc(store.rows, store.cap * sizeof(*store.rows));
		if (!store.rows)
			abort();
	}
	if (!r) {
		r = &store.rows[store.count++];
		memset(r, 0, sizeof(*r));
		str_copy(r->table, sizeof(r->table), str_from(table));
		str_copy(r->part, sizeof(r->part), str_from(part));
		str_copy(r->key, sizeof(r->key), str_from(key));
	}
	free(r->value);
	r->value = value ? strdup(value) : NULL;
	r->deleted = !value;
	r->ver = store.ver;
}

static void add_row(struct strbuf *out, const struct row *r)
{
	strbuf_addf(out,
		    "%s{\"table\":\"%s\",\"part\":\"%s\",\"key\":\"%s\","
		    "\"ver\":%llu",
		    out->ptr[out->len - 1] == '[' ? "" : ",", r->table, r->part,
		    r->key, (unsigned long long)r->ver);
	if (r->deleted)
		strbuf_add(out, STR(",\"deleted\":true}"));
	else
		strbuf_addf(out, ",\"value\":\"%s\"}", r->value);
}

static void end_rows(struct strbuf *out, bool more)
{
	strbuf_addf(out, "],\"has_more\":%s,\"ver\":%llu,\"now\":\"%lldms\"}",
		    more ? "true" : "false", (unsigned long long)store.ver,
		    (long long)(tmr_now() / NS_PER_MS));
}

static int order_by_key(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static int order_by_ver(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return ((*x)->ver > (*y)->ver) - ((*x)->ver < (*y)->ver);
}

static int finish(struct mg_connection *c, enum mode mode, int status,
		  struct strbuf *out)
{
	int result = mode == MODE_LOSE ? send_nothing(c)
				       : send_json(c, status, strbuf_cstr(out));

	strbuf_free(out);
	return result;
}

/* Refuses the call as the mode says; 0 when it is to be carried out. */
static int refuse(struct mg_connection *c, enum mode mode)
{
	if (mode == MODE_DOWN)
		return send_json(c, 503, "{}");
	if (mode == MODE_BUSY)
		return send_json(c, 429, "{}");
	if (mode == MODE_SILENT || mode == MODE_LOSE_BEFORE)
		return send_nothing(c);
	return 0;
}

static int on_get(struct mg_connection *c, void *ctx)
{
	char table[NAME_BYTES], part[NAME_BYTES], from[NAME_BYTES];
	uint64_t limit = number_arg(c, "limit");
	enum mode mode = admit(c, false);
	struct row **found;
	struct strbuf out;
	size_t i, n = 0;

	(void)ctx;
	if (refuse(c, mode))
		return 503;
	get_arg(c, "table", table, sizeof(table));
	get_arg(c, "part", part, sizeof(part));
	get_arg(c, "from", from, sizeof(from));
	if (!limit || limit > MAX_ROWS)
		limit = MAX_ROWS;
	strbuf_init(&out);
	strbuf_add(&out, STR("{\"rows\":["));
	pthread_mutex_lock(&store.lock);
	found = calloc(store.count + 1, sizeof(struct row *));
	for (i = 0; found && i < store.count; i++) {
		struct row *r = &store.rows[i];

		if (!r->deleted && !strcmp(r->table, table) &&
		    !strcmp(r->part, part) && strcmp(r->key, from) >= 0)
			found[n++] = r;
	}
	if (found)
		qsort(found, n, sizeof(struct row *), order_by_key);
	for (i = 0; i < n && i < limit; i++)
		add_row(&out, found[i]);
	end_rows(&out, n > limit);
	pthread_mutex_unlock(&store.lock);
	free(found);
	return finish(c, mode, 200, &out);
}

/* Changes of a table after a version; the lock is held. */
static size_t add_changes(struct strbuf *out, const char *table, uint64_t after)
{
	struct row **found = calloc(store.count + 1, sizeof(struct row *));
	size_t i, n = 0;

	for (i = 0; found && i < store.count; i++)
		if (!strcmp(store.rows[i].table, table) &&
		    store.rows[i].ver > after)
			found[n++] = &store.rows[i];
	if (found)
		qsort(found, n, sizeof(struct row *), order_by_ver);
	for (i = 0; i < n; i++)
		add_row(out, found[i]);
	free(found);
	return n;
}

static int on_feed(struct mg_connection *c, void *ctx)
{
	uint64_t after = number_arg(c, "after");
	int64_t end = tmr_now() + (int64_t)number_arg(c, "wait_ms") * NS_PER_MS;
	enum mode mode = admit(c, false);
	char table[NAME_BYTES];
	struct strbuf out;
	bool gone;

	(void)ctx;
	if (refuse(c, mode))
		return 503;
	get_arg(c, "table", table, sizeof(table));
	strbuf_init(&out);
	for (;;) {
		size_t n;

		strbuf_set(&out, STR("{\"rows\":["));
		pthread_mutex_lock(&store.lock);
		gone = after < store.forgotten;
		n = add_changes(&out, table, after);
		end_rows(&out, false);
		pthread_mutex_unlock(&store.lock);
		if (gone || n || tmr_now() >= end)
			break;
		usleep(POLL_MS * 1000);
	}
	if (gone)
		strbuf_set(&out, STR("{}"));
	return finish(c, mode, gone ? 410 : 200, &out);
}

static bool is_allowed(struct mg_connection *c, struct json_object *list)
{
	size_t i, n = list ? json_object_array_length(list) : 0;

	for (i = 0; i < n; i++) {
		const char *table =
			text_of(json_object_array_get_idx(list, i), "table");

		if ((!strcmp(table, "op") || !strcmp(table, "servers")) &&
		    !mg_get_header(c, "X-Operator"))
			return false;
	}
	return n <= MAX_ENTRIES;
}

/* The lock is held. */
static bool holds(struct json_object *list)
{
	size_t i, n = list ? json_object_array_length(list) : 0;

	for (i = 0; i < n; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		const struct row *r =
			find_row(text_of(o, "table"), text_of(o, "part"),
				 text_of(o, "key"));
		uint64_t ver = r && !r->deleted ? r->ver : 0;
		struct json_object *want = json_object_object_get(o, "ver");

		if ((uint64_t)json_object_get_int64(want) != ver)
			return false;
	}
	return true;
}

/* The lock is held. */
static void apply(struct json_object *list, bool remove)
{
	size_t i, n = list ? json_object_array_length(list) : 0;

	for (i = 0; i < n; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		set_row(text_of(o, "table"), text_of(o, "part"),
			text_of(o, "key"), remove ? NULL : text_of(o, "value"));
	}
}

static int on_tx(struct mg_connection *c, void *ctx)
{
	struct json_object *tx, *puts, *removes;
	enum mode mode = admit(c, true);
	struct strbuf body, out;
	int status = 200;

	(void)ctx;
	if (refuse(c, mode))
		return 503;
	strbuf_init(&body);
	strbuf_init(&out);
	if (!read_body(c, &body))
		status = 413;
	tx = json_tokener_parse(strbuf_cstr(&body));
	strbuf_free(&body);
	puts = json_object_object_get(tx, "puts");
	removes = json_object_object_get(tx, "remove");
	if (!tx)
		status = 400;
	else if (!is_allowed(c, puts) || !is_allowed(c, removes))
		status = 403;
	pthread_mutex_lock(&store.lock);
	if (status == 200 && !holds(json_object_object_get(tx, "expected_rev")))
		status = 412;
	if (status == 200) {
		store.ver++;
		apply(puts, false);
		apply(removes, true);
	}
	strbuf_add(&out, STR("{\"rows\":["));
	end_rows(&out, false);
	pthread_mutex_unlock(&store.lock);
	json_object_put(tx);
	return finish(c, mode, status, &out);
}

static int on_control(struct mg_connection *c, void *ctx)
{
	struct json_object *o, *clients;
	struct strbuf body;
	size_t i;

	(void)ctx;
	strbuf_init(&body);
	read_body(c, &body);
	o = json_tokener_parse(strbuf_cstr(&body));
	strbuf_free(&body);
	pthread_mutex_lock(&store.lock);
	for (i = 0; i < sizeof(mode_names) / sizeof(mode_names[0]); i++)
		if (!strcmp(mode_names[i], text_of(o, "mode")))
			store.mode = (enum mode)i;
	store.delay_ms =
		json_object_get_int64(json_object_object_get(o, "delay_ms"));
	clients = json_object_object_get(o, "clients");
	str_copy(store.clients, sizeof(store.clients),
		 str_from(clients ? json_object_to_json_string(clients) : ""));
	if (json_object_object_get(o, "forget"))
		store.forgotten = store.ver;
	pthread_mutex_unlock(&store.lock);
	json_object_put(o);
	return send_json(c, 200, "{}");
}

static int on_stats(struct mg_connection *c, void *ctx)
{
	char body[128];

	(void)ctx;
	pthread_mutex_lock(&store.lock);
	snprintf(body, sizeof(body),
		 "{\"reads\":%llu,\"writes\":%llu,\"refused\":%llu}",
		 (unsigned long long)store.reads,
		 (unsigned long long)store.writes,
		 (unsigned long long)store.refused);
	pthread_mutex_unlock(&store.lock);
	return send_json(c, 200, body);
}

int main(int argc, char **argv)
{
	const char *options[] = {"listening_ports",
				 argc > 1 ? argv[1] : "",
				 "num_threads",
				 "64",
				 "enable_keep_alive",
				 "yes",
				 "keep_alive_timeout_ms",
				 "60000",
				 NULL};
	struct mg_context *ctx;

	if (argc != 2 && argc != 4) {
		fprintf(stderr, "usage: rowsd ADDRESS:PORT [WRITES READS]\n");
		return 2;
	}
	if (argc == 4) {
		store.max_writes = strtoull(argv[2], NULL, 10);
		store.max_reads = strtoull(argv[3], NULL, 10);
	}
	mg_init_library(0);
	ctx = mg_start(NULL, NULL, options);
	if (!ctx) {
		fprintf(stderr, "rowsd: cannot listen on %s\n", argv[1]);
		return 1;
	}
	mg_set_request_handler(ctx, "/rows-get", on_get, NULL);
	mg_set_request_handler(ctx, "/rows-feed", on_feed, NULL);
	mg_set_request_handler(ctx, "/rows-tx", on_tx, NULL);
	mg_set_request_handler(ctx, "/control", on_control, NULL);
	mg_set_request_handler(ctx, "/stats", on_stats, NULL);
	for (;;)
		pause();
}
