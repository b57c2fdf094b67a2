/*
 * Simulates the users' store for tests of edge VMs, in memory: versioned rows,
 * conditional transactions, range reads and a change feed.
 *
 *   rowsd ADDRESS:PORT [WRITES_PER_S READS_PER_S]
 *
 * With the two rate limits, calls beyond them within a second get 429.
 *
 * POST /control injects faults: {"mode": "up" | "down" | "busy" | "slow" |
 * "silent" | "lose" | "lose_before", "delay_ms": N, "clients": ["ADDRESS",
 * ...]}. The fault applies to these clients, or to all without "clients". A
 * request without "delay_ms" or "clients" resets them.
 * {"forget": true} compacts the change feed: reads from an older version get
 * 410. {"save": true} keeps a copy of the rows. {"drill": SECONDS} returns to
 * the rows as they were then, {"drill": "saved"} to the copy: later rows are
 * gone, versions go back, reads from a version that is gone get 410, and
 * Store-Era, in all responses, rises by one. GET /stats returns call counts.
 * Writes to the tables "op" and "servers" need the header X-Operator.
 */
#include <civetweb.h>
#include <glib.h>
#include <json-c/json.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "counted_string.h"
#include "entity_table.h"
#include "timer.h"

#define MAX_BODY_BYTES (9 << 20)
#define MAX_ROWS_PER_CALL 500
#define MAX_TX_ENTRIES 100
#define NAME_BYTES 201
#define FEED_POLL_MS 10
#define SILENT_DELAY_MS 60000

struct row {
	char table[NAME_BYTES];
	char part[NAME_BYTES];
	char key[NAME_BYTES];
	char *value;
	uint64_t ver;
	/* Tombstone: only the change feed returns it. */
	bool deleted;
};

enum mode {
	MODE_UP,
	/* Responds with 503. */
	MODE_DOWN,
	/* Responds with 429, as beyond a rate limit. */
	MODE_BUSY,
	/* Serves the call after delay_ms. */
	MODE_SLOW,
	/* Closes the connection after SILENT_DELAY_MS without a response. */
	MODE_SILENT,
	/* Executes the call, but closes the connection without a response. */
	MODE_LOSE,
	/* Closes the connection without executing the call. */
	MODE_LOSE_BEFORE,
};

/* A row as a transaction left it, in the order of their versions. */
struct change {
	struct row row;
	int64_t time_ns;
};

static const char *const mode_names[] = {
	"up", "down", "busy", "slow", "silent", "lose", "lose_before",
};

static struct {
	pthread_mutex_t lock;
	struct row *rows;
	size_t count, cap;
	uint64_t ver;
	uint64_t era;
	struct change *changes;
	size_t change_count, change_cap;
	/* Version of the copy that is kept. */
	uint64_t saved_ver;
	/* The change feed is compacted up to this version. */
	uint64_t compacted_ver;
	enum mode mode;
	int64_t delay_ms;
	/* JSON array of the clients that the mode applies to, "" for all. */
	char clients[512];
	uint64_t reads, writes, refused;
	/* Rate limits, 0 for none, and the calls in the current second. */
	uint64_t max_reads_per_s, max_writes_per_s;
	uint64_t reads_in_window, writes_in_window;
	int64_t window_start_ns;
} store = {.lock = PTHREAD_MUTEX_INITIALIZER, .era = 1};

/* Era of the rows in the response that this thread prepares. */
static _Thread_local uint64_t response_era;

static void lock_store(void)
{
	pthread_mutex_lock(&store.lock);
	response_era = store.era;
}

static int send_json(struct mg_connection *c, int status, const char *body)
{
	mg_printf(c,
		  "HTTP/1.1 %d Status\r\nContent-Type: application/json\r\n"
		  "Store-Era: %llu\r\nContent-Length: %zu\r\n\r\n%s",
		  status, (unsigned long long)response_era, strlen(body), body);
	return status;
}

/* Returns a status, so that CivetWeb takes the request as handled. */
static int close_without_response(struct mg_connection *c)
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
		if (out->len > MAX_BODY_BYTES)
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

static uint64_t get_u64_arg(struct mg_connection *c, const char *name)
{
	char text[32];

	get_arg(c, name, text, sizeof(text));
	return strtoull(text, NULL, 10);
}

static const char *get_string(struct json_object *o, const char *name)
{
	struct json_object *v = json_object_object_get(o, name);

	return v ? json_object_get_string(v) : "";
}

/* Whether the mode applies to the client of this connection. */
static bool is_client_affected(struct mg_connection *c)
{
	return !store.clients[0] ||
	       strstr(store.clients, mg_get_request_info(c)->remote_addr);
}

/* Counts a call, delays it as the mode asks, and returns its mode. */
static enum mode count_call(struct mg_connection *c, bool write)
{
	enum mode mode;
	int64_t now = tmr_now(), delay;

	lock_store();
	if (now - store.window_start_ns >= NS_PER_S) {
		store.window_start_ns = now;
		store.reads_in_window = store.writes_in_window = 0;
	}
	*(write ? &store.writes : &store.reads) += 1;
	*(write ? &store.writes_in_window : &store.reads_in_window) += 1;
	mode = is_client_affected(c) ? store.mode : MODE_UP;
	if ((store.max_writes_per_s &&
	     store.writes_in_window > store.max_writes_per_s) ||
	    (store.max_reads_per_s &&
	     store.reads_in_window > store.max_reads_per_s))
		mode = MODE_BUSY;
	store.refused += mode == MODE_DOWN || mode == MODE_BUSY;
	delay = mode == MODE_SLOW ? store.delay_ms
				  : (mode == MODE_SILENT ? SILENT_DELAY_MS : 0);
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

static void record_change(const struct row *r)
{
	struct change *c;

	if (store.change_count == store.change_cap) {
		store.change_cap = store.change_cap ? store.change_cap * 2 : 64;
		store.changes =
			realloc(store.changes, store.change_cap * sizeof(*c));
		if (!store.changes)
			abort();
	}
	c = &store.changes[store.change_count++];
	c->row = *r;
	c->row.value = r->value ? strdup(r->value) : NULL;
	c->time_ns = tmr_now();
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
	record_change(r);
}

/* Returns to the rows as of a version. The lock is held. */
static void restore_rows(uint64_t ver)
{
	struct change *changes = store.changes;
	size_t i, count = store.change_count;

	for (i = 0; i < store.count; i++)
		free(store.rows[i].value);
	store.count = 0;
	store.changes = NULL;
	store.change_count = store.change_cap = 0;
	for (i = 0; i < count; i++) {
		const struct row *r = &changes[i].row;

		store.ver = r->ver;
		if (r->ver <= ver) {
			set_row(r->table, r->part, r->key, r->value);
			store.changes[store.change_count - 1].time_ns =
				changes[i].time_ns;
		}
		free(changes[i].row.value);
	}
	free(changes);
	store.ver = ver;
	if (store.compacted_ver > ver)
		store.compacted_ver = ver;
	response_era = ++store.era;
}

/* Version of the store at that time. */
static uint64_t version_at(int64_t time_ns)
{
	size_t i = store.change_count;

	while (i > 0 && store.changes[i - 1].time_ns > time_ns)
		i--;
	return i ? store.changes[i - 1].row.ver : 0;
}

static void append_row(struct strbuf *out, const struct row *r)
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

static void append_trailer(struct strbuf *out, bool more)
{
	strbuf_addf(out, "],\"has_more\":%s,\"ver\":%llu,\"now\":\"%lldms\"}",
		    more ? "true" : "false", (unsigned long long)store.ver,
		    (long long)(tmr_now() / NS_PER_MS));
}

static int compare_keys(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return strcmp((*x)->key, (*y)->key);
}

static int compare_versions(const void *a, const void *b)
{
	const struct row *const *x = a, *const *y = b;

	return ((*x)->ver > (*y)->ver) - ((*x)->ver < (*y)->ver);
}

static int send_result(struct mg_connection *c, enum mode mode, int status,
		       struct strbuf *out)
{
	int result = mode == MODE_LOSE ? close_without_response(c)
				       : send_json(c, status, strbuf_cstr(out));

	strbuf_free(out);
	return result;
}

/* Fails the call as the mode asks; 0 when it is to be executed. */
static int reject_by_mode(struct mg_connection *c, enum mode mode)
{
	if (mode == MODE_DOWN)
		return send_json(c, 503, "{}");
	if (mode == MODE_BUSY)
		return send_json(c, 429, "{}");
	if (mode == MODE_SILENT || mode == MODE_LOSE_BEFORE)
		return close_without_response(c);
	return 0;
}

static int on_get(struct mg_connection *c, void *ctx)
{
	char table[NAME_BYTES], part[NAME_BYTES], from[NAME_BYTES];
	uint64_t limit = get_u64_arg(c, "limit");
	enum mode mode = count_call(c, false);
	struct row **found;
	struct strbuf out;
	size_t i, n = 0;

	(void)ctx;
	if (reject_by_mode(c, mode))
		return 503;
	get_arg(c, "table", table, sizeof(table));
	get_arg(c, "part", part, sizeof(part));
	get_arg(c, "from", from, sizeof(from));
	if (!limit || limit > MAX_ROWS_PER_CALL)
		limit = MAX_ROWS_PER_CALL;
	strbuf_init(&out);
	strbuf_add(&out, STR("{\"rows\":["));
	lock_store();
	found = calloc(store.count + 1, sizeof(struct row *));
	for (i = 0; found && i < store.count; i++) {
		struct row *r = &store.rows[i];

		if (!r->deleted && !strcmp(r->table, table) &&
		    !strcmp(r->part, part) && strcmp(r->key, from) >= 0)
			found[n++] = r;
	}
	if (found)
		qsort(found, n, sizeof(struct row *), compare_keys);
	for (i = 0; i < n && i < limit; i++)
		append_row(&out, found[i]);
	append_trailer(&out, n > limit);
	pthread_mutex_unlock(&store.lock);
	free(found);
	return send_result(c, mode, 200, &out);
}

/* Appends the rows of a table changed after a version. The lock is held. */
static size_t append_changes(struct strbuf *out, const char *table,
			     uint64_t after)
{
	struct row **found = calloc(store.count + 1, sizeof(struct row *));
	size_t i, n = 0;

	for (i = 0; found && i < store.count; i++)
		if (!strcmp(store.rows[i].table, table) &&
		    store.rows[i].ver > after)
			found[n++] = &store.rows[i];
	if (found)
		qsort(found, n, sizeof(struct row *), compare_versions);
	for (i = 0; i < n; i++)
		append_row(out, found[i]);
	free(found);
	return n;
}

static int on_feed(struct mg_connection *c, void *ctx)
{
	uint64_t after = get_u64_arg(c, "after");
	int64_t end =
		tmr_now() + (int64_t)get_u64_arg(c, "wait_ms") * NS_PER_MS;
	enum mode mode = count_call(c, false);
	char table[NAME_BYTES];
	struct strbuf out;
	bool is_compacted;

	(void)ctx;
	if (reject_by_mode(c, mode))
		return 503;
	get_arg(c, "table", table, sizeof(table));
	strbuf_init(&out);
	for (;;) {
		size_t n;

		strbuf_set(&out, STR("{\"rows\":["));
		lock_store();
		is_compacted = after < store.compacted_ver || after > store.ver;
		n = append_changes(&out, table, after);
		append_trailer(&out, false);
		pthread_mutex_unlock(&store.lock);
		if (is_compacted || n || tmr_now() >= end)
			break;
		usleep(FEED_POLL_MS * 1000);
	}
	if (is_compacted)
		strbuf_set(&out, STR("{}"));
	return send_result(c, mode, is_compacted ? 410 : 200, &out);
}

/* False for too many rows, or an operator's table without X-Operator. */
static bool may_write(struct mg_connection *c, struct json_object *list)
{
	size_t i, n = list ? json_object_array_length(list) : 0;

	for (i = 0; i < n; i++) {
		const char *table =
			get_string(json_object_array_get_idx(list, i), "table");

		if ((!strcmp(table, "op") || !strcmp(table, "servers")) &&
		    !mg_get_header(c, "X-Operator"))
			return false;
	}
	return n <= MAX_TX_ENTRIES;
}

/* Whether all rows have their expected versions. The lock is held. */
static bool versions_match(struct json_object *list)
{
	size_t i, n = list ? json_object_array_length(list) : 0;

	for (i = 0; i < n; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);
		const struct row *r =
			find_row(get_string(o, "table"), get_string(o, "part"),
				 get_string(o, "key"));
		uint64_t ver = r && !r->deleted ? r->ver : 0;
		struct json_object *want = json_object_object_get(o, "ver");

		if ((uint64_t)json_object_get_int64(want) != ver)
			return false;
	}
	return true;
}

/* Writes or deletes the rows of a transaction. The lock is held. */
static void apply_entries(struct json_object *list, bool remove)
{
	size_t i, n = list ? json_object_array_length(list) : 0;

	for (i = 0; i < n; i++) {
		struct json_object *o = json_object_array_get_idx(list, i);

		set_row(get_string(o, "table"), get_string(o, "part"),
			get_string(o, "key"),
			remove ? NULL : get_string(o, "value"));
	}
}

static int on_tx(struct mg_connection *c, void *ctx)
{
	struct json_object *tx, *puts, *removes;
	enum mode mode = count_call(c, true);
	struct strbuf body, out;
	int status = 200;

	(void)ctx;
	if (reject_by_mode(c, mode))
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
	else if (!may_write(c, puts) || !may_write(c, removes))
		status = 403;
	lock_store();
	if (status == 200 &&
	    !versions_match(json_object_object_get(tx, "expected_rev")))
		status = 412;
	if (status == 200) {
		store.ver++;
		apply_entries(puts, false);
		apply_entries(removes, true);
	}
	strbuf_add(&out, STR("{\"rows\":["));
	append_trailer(&out, false);
	pthread_mutex_unlock(&store.lock);
	json_object_put(tx);
	return send_result(c, mode, status, &out);
}

static int on_control(struct mg_connection *c, void *ctx)
{
	struct json_object *o, *clients, *drill;
	struct strbuf body;
	size_t i;

	(void)ctx;
	strbuf_init(&body);
	read_body(c, &body);
	o = json_tokener_parse(strbuf_cstr(&body));
	strbuf_free(&body);
	lock_store();
	for (i = 0; i < sizeof(mode_names) / sizeof(mode_names[0]); i++)
		if (!strcmp(mode_names[i], get_string(o, "mode")))
			store.mode = (enum mode)i;
	store.delay_ms =
		json_object_get_int64(json_object_object_get(o, "delay_ms"));
	clients = json_object_object_get(o, "clients");
	str_copy(store.clients, sizeof(store.clients),
		 str_from(clients ? json_object_to_json_string(clients) : ""));
	if (json_object_object_get(o, "forget"))
		store.compacted_ver = store.ver;
	if (json_object_object_get(o, "save"))
		store.saved_ver = store.ver;
	drill = json_object_object_get(o, "drill");
	if (drill)
		restore_rows(json_object_is_type(drill, json_type_string)
				     ? store.saved_ver
				     : version_at(tmr_now() -
						  json_object_get_int64(drill) *
							  NS_PER_S));
	pthread_mutex_unlock(&store.lock);
	json_object_put(o);
	return send_json(c, 200, "{}");
}

static int on_stats(struct mg_connection *c, void *ctx)
{
	char body[128];

	(void)ctx;
	lock_store();
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
		fprintf(stderr, "usage: rowsd ADDRESS:PORT "
				"[WRITES_PER_S READS_PER_S]\n");
		return 2;
	}
	if (argc == 4) {
		store.max_writes_per_s = strtoull(argv[2], NULL, 10);
		store.max_reads_per_s = strtoull(argv[3], NULL, 10);
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
