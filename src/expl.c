#include "expl.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "tab.h"

#define TIME_BYTES 40
#define NAME_BYTES 72
/* What happened so long before the request's first line, and so long after its
 * last one, may explain it. */
#define US_PER_S INT64_C(1000000)
#define BEFORE_US (10 * US_PER_S)
#define AFTER_US US_PER_S

struct expl_row {
	char time[TIME_BYTES];
	char vm[NAME_BYTES];
	char server[NAME_BYTES];
	/* About the request itself. */
	bool own;
	/* Each VM writes such a line; only those of the request's VMs count. */
	bool local;
	/* Event and fields, ready to be printed. */
	struct strbuf text;
};

struct expl {
	struct strbuf request;
	struct tab rows;
};

/* Lines without a request that may explain one. */
#define SERVER_EVENT "server"
static const char *const server_events[] = {"eject", "reinstate", SERVER_EVENT};
static const char *const vm_events[] = {
	"start",  "stop",  "end",	   "reload",
	"config", "store", "state_failed", "left_out",
};

static bool is_named(const char *const *names, size_t count, const char *name)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (!strcmp(names[i], name))
			return true;
	return false;
}

#define IS_NAMED(names, name) \
	is_named(names, sizeof(names) / sizeof((names)[0]), name)

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

static const char *text_of(struct json_object *line, const char *name)
{
	struct json_object *v = NULL;

	if (!json_object_object_get_ex(line, name, &v) ||
	    !json_object_is_type(v, json_type_string))
		return "";
	return json_object_get_string(v);
}

static void write_text(struct json_object *line, struct strbuf *out)
{
	strbuf_add(out, str_from(text_of(line, "event")));
	json_object_object_foreach(line, name, value)
	{
		if (!strcmp(name, "time") || !strcmp(name, "vm") ||
		    !strcmp(name, "event") || !strcmp(name, "level") ||
		    !strcmp(name, "request"))
			continue;
		strbuf_addf(out, " %s=%s", name, json_object_get_string(value));
	}
}

static void add_object(struct expl *x, struct json_object *line)
{
	const char *event = text_of(line, "event");
	bool own = str_eq(str_from(text_of(line, "request")),
			  strbuf_view(&x->request));
	struct expl_row *r;
	void *row;

	if (!text_of(line, "time")[0])
		return;
	if (!own && !IS_NAMED(server_events, event) &&
	    !IS_NAMED(vm_events, event))
		return;
	tab_add(&x->rows, &row);
	r = row;
	r->own = own;
	r->local = IS_NAMED(vm_events, event) || !strcmp(event, SERVER_EVENT);
	str_copy(r->time, sizeof(r->time), str_from(text_of(line, "time")));
	str_copy(r->vm, sizeof(r->vm), str_from(text_of(line, "vm")));
	str_copy(r->server, sizeof(r->server),
		 str_from(text_of(line, "server")));
	strbuf_init(&r->text);
	write_text(line, &r->text);
}

void expl_add(struct expl *x, struct str line)
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
		add_object(x, object);
	json_object_put(object);
	json_tokener_free(parser);
}

static int order_by_time(const void *a, const void *b)
{
	const struct expl_row *x = a, *y = b;

	return strcmp(x->time, y->time);
}

/* Microseconds since 1970; 0 for a time that cannot be read. */
static int64_t parse_time(const char *text)
{
	GDateTime *t = g_date_time_new_from_iso8601(text, NULL);
	int64_t us;

	if (!t)
		return 0;
	us = g_date_time_to_unix(t) * US_PER_S + g_date_time_get_microsecond(t);
	g_date_time_unref(t);
	return us;
}

/* The row concerns a VM or a server of one of the request's own lines. */
static bool is_related(const struct expl *x, const struct expl_row *r)
{
	uint32_t i;

	for (i = 0; i < x->rows.len; i++) {
		const struct expl_row *own = tab_at(&x->rows, i);

		if (own->own && (!r->local || !strcmp(r->vm, own->vm)) &&
		    (!r->server[0] || !strcmp(r->server, own->server)))
			return true;
	}
	return false;
}

static void write_row(const struct expl_row *r, struct strbuf *out)
{
	strbuf_addf(out, "%s %s%s %.*s\n", r->time, r->own ? "* " : "  ", r->vm,
		    STR_FMT(strbuf_view(&r->text)));
}

size_t expl_write(struct expl *x, struct strbuf *out)
{
	int64_t from = 0, to = 0;
	size_t own = 0;
	uint32_t i;

	/* No handle of a row is kept, so that the rows may be moved. */
	if (x->rows.len)
		qsort(x->rows.rows, x->rows.len, x->rows.row_size,
		      order_by_time);
	for (i = 0; i < x->rows.len; i++) {
		const struct expl_row *r = tab_at(&x->rows, i);

		if (!r->own)
			continue;
		own++;
		to = parse_time(r->time) + AFTER_US;
		if (!from)
			from = parse_time(r->time) - BEFORE_US;
	}
	for (i = 0; own && i < x->rows.len; i++) {
		const struct expl_row *r = tab_at(&x->rows, i);
		int64_t at = parse_time(r->time);

		if (r->own || (at >= from && at <= to && is_related(x, r)))
			write_row(r, out);
	}
	return own;
}
