#include "explain.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "entity_table.h"

#define TIME_BYTES 40
#define NAME_BYTES 72
#define US_PER_S INT64_C(1000000)
/*
 * Events of the VMs and backend servers are included from this long before the
 * request's first line to this long after its last one.
 */
#define CONTEXT_BEFORE_US (10 * US_PER_S)
#define CONTEXT_AFTER_US US_PER_S

struct expl_row {
	char time[TIME_BYTES];
	char vm[NAME_BYTES];
	char server[NAME_BYTES];
	bool about_request;
	/*
	 * The event concerns only the VM that logged it, and is included only
	 * if that VM handled the request.
	 */
	bool vm_scope;
	/* Event and fields as they are printed. */
	struct strbuf text;
};

struct expl {
	struct strbuf request;
	struct tab rows;
};

/*
 * Events that are included although they do not name a request: those about
 * backend servers, and those about VMs.
 */
#define SERVER_STATE_EVENT "server"
static const char *const server_events[] = {"eject", "reinstate",
					    SERVER_STATE_EVENT};
static const char *const vm_events[] = {
	"start",  "stop",  "end",	   "reload",
	"config", "store", "state_failed", "left_out",
};

static bool contains(const char *const *names, size_t count, const char *name)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			return true;
	return false;
}

#define CONTAINS(names, name) \
	contains(names, sizeof(names) / sizeof((names)[0]), name)

struct expl *expl_new(struct str request)
{
	struct expl *x = calloc(1, sizeof(*x));

	if (!x)
		return NULL;
	strbuf_init(&x->request);
	strbuf_set(&x->request, request);
	tab_init(&x->rows, sizeof(struct expl_row));
	return x;
}

void expl_free(struct expl *x)
{
	uint32_t i;

	if (!x)
		return;
	for (i = 0; i < x->rows.len; i++) {
		struct expl_row *r = tab_at(&x->rows, i);

		strbuf_free(&r->text);
	}
	tab_free(&x->rows);
	strbuf_free(&x->request);
	free(x);
}

static const char *string_member(struct json_object *line, const char *name)
{
	struct json_object *v = NULL;

	if (!json_object_object_get_ex(line, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

static void format_fields(struct json_object *line, struct strbuf *out)
{
	strbuf_add(out, str_from(string_member(line, "event")));
	json_object_object_foreach(line, name, value)
	{
		if (!strcmp(name, "time") || !strcmp(name, "vm") ||
		    !strcmp(name, "event") || !strcmp(name, "level") ||
		    !strcmp(name, "request"))
			continue;
		strbuf_addf(out, " %s=%s", name, json_object_get_string(value));
	}
}

static void add_event(struct expl *x, struct json_object *line)
{
	const char *event = string_member(line, "event");
	bool about_request = str_eq(str_from(string_member(line, "request")),
				    strbuf_view(&x->request));
	struct expl_row *r;
	void *row;

	if (!string_member(line, "time")[0])
		return;
	if (!about_request && !CONTAINS(server_events, event) &&
	    !CONTAINS(vm_events, event))
		return;
	tab_add(&x->rows, &row);
	r = row;
	r->about_request = about_request;
	r->vm_scope = CONTAINS(vm_events, event) ||
		      !strcmp(event, SERVER_STATE_EVENT);
	str_copy(r->time, sizeof(r->time),
		 str_from(string_member(line, "time")));
	str_copy(r->vm, sizeof(r->vm), str_from(string_member(line, "vm")));
	str_copy(r->server, sizeof(r->server),
		 str_from(string_member(line, "server")));
	strbuf_init(&r->text);
	format_fields(line, &r->text);
}

void expl_add_line(struct expl *x, struct str line)
{
	struct json_tokener *parser;
	struct json_object *object;

	line = str_trim(line);
	if (!str_starts_with(line, STR("{")))
		return;
	parser = json_tokener_new();
	if (!parser)
		return;
	object = json_tokener_parse_ex(parser, line.ptr, (int)line.len);
	if (object && json_object_is_type(object, json_type_object))
		add_event(x, object);
	json_object_put(object);
	json_tokener_free(parser);
}

static int compare_by_time(const void *a, const void *b)
{
	const struct expl_row *x = a, *y = b;

	return strcmp(x->time, y->time);
}

/* Microseconds since the Unix epoch; 0 for a malformed time. */
static int64_t parse_time_us(const char *text)
{
	GDateTime *t = g_date_time_new_from_iso8601(text, NULL);
	int64_t us;

	if (!t)
		return 0;
	us = g_date_time_to_unix(t) * US_PER_S + g_date_time_get_microsecond(t);
	g_date_time_unref(t);
	return us;
}

/*
 * Returns true if a line about the request names the row's server, if it has
 * one, and comes from the row's VM, if its event concerns that VM only.
 */
static bool is_related(const struct expl *x, const struct expl_row *r)
{
	uint32_t i;

	for (i = 0; i < x->rows.len; i++) {
		const struct expl_row *line = tab_at(&x->rows, i);

		if (line->about_request &&
		    (!r->vm_scope || !strcmp(r->vm, line->vm)) &&
		    (!r->server[0] || !strcmp(r->server, line->server)))
			return true;
	}
	return false;
}

static void write_row(const struct expl_row *r, struct strbuf *out)
{
	strbuf_addf(out, "%s %s%s %.*s\n", r->time,
		    r->about_request ? "* " : "  ", r->vm,
		    STR_FMT(strbuf_view(&r->text)));
}

size_t expl_write(struct expl *x, struct strbuf *out)
{
	int64_t from = 0, to = 0;
	size_t request_lines = 0;
	uint32_t i;

	/* No handles of rows are in use, so the rows may be reordered. */
	if (x->rows.len)
		qsort(x->rows.rows, x->rows.len, x->rows.row_size,
		      compare_by_time);
	for (i = 0; i < x->rows.len; i++) {
		const struct expl_row *r = tab_at(&x->rows, i);

		if (!r->about_request)
			continue;
		request_lines++;
		to = parse_time_us(r->time) + CONTEXT_AFTER_US;
		if (!from)
			from = parse_time_us(r->time) - CONTEXT_BEFORE_US;
	}
	for (i = 0; request_lines && i < x->rows.len; i++) {
		const struct expl_row *r = tab_at(&x->rows, i);
		int64_t at = parse_time_us(r->time);

		if (r->about_request ||
		    (at >= from && at <= to && is_related(x, r)))
			write_row(r, out);
	}
	return request_lines;
}
