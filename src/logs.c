#define G_LOG_DOMAIN "currantpaddle"

#include "logs.h"

#include <errno.h>
#include <fcntl.h>
#include <glib.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

static enum logs_level max_level = LOGS_INFO;
static char vm_name[64];
static bool installed;
static int out_fd = STDERR_FILENO;
static bool rate_limited;
/* Lines that were lost because the reader of the log was too slow. */
static uint32_t dropped_lines;

/* Limit for each event name; lines above it are only counted. */
#define MAX_LINES_PER_S 200

static const GLogLevelFlags glib_level[] = {
	[LOGS_ERROR] = G_LOG_LEVEL_CRITICAL,
	[LOGS_WARNING] = G_LOG_LEVEL_WARNING,
	[LOGS_INFO] = G_LOG_LEVEL_INFO,
	[LOGS_DEBUG] = G_LOG_LEVEL_DEBUG,
};

static const char *level_name(GLogLevelFlags level)
{
	if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
		return "error";
	if (level & G_LOG_LEVEL_WARNING)
		return "warning";
	if (level & G_LOG_LEVEL_DEBUG)
		return "debug";
	return "info";
}

void logs_add_json_escaped(struct strbuf *out, struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c == '"' || c == '\\') {
			strbuf_add_char(out, '\\');
			strbuf_add_char(out, (char)c);
		} else if (c < 0x20 || c == 0x7f) {
			strbuf_addf(out, "\\u%04x", c);
		} else {
			strbuf_add_char(out, (char)c);
		}
	}
}

static void add_time(struct strbuf *line)
{
	struct timespec ts;
	struct tm tm;

	clock_gettime(CLOCK_REALTIME, &ts);
	gmtime_r(&ts.tv_sec, &tm);
	strbuf_addf(line, "{\"time\":\"%04d-%02d-%02dT%02d:%02d:%02d.%06ldZ\"",
		    tm.tm_year + 1900, tm.tm_mon + 1, tm.tm_mday, tm.tm_hour,
		    tm.tm_min, tm.tm_sec, ts.tv_nsec / 1000);
}

static struct str field_value(const GLogField *field)
{
	struct str s = {field->value, (size_t)field->length};

	return field->length < 0 ? str_from(field->value) : s;
}

/*
 * LOGS_INT() marks a number by a "#" before the key; it is written unquoted.
 * The value is not inspected, since text may come from outside.
 */
static void add_field(struct strbuf *line, const GLogField *field)
{
	struct str value = field_value(field);

	if (field->key[0] == '#') {
		strbuf_addf(line, ",\"%s\":%.*s", field->key + 1,
			    STR_FMT(value));
		return;
	}
	strbuf_addf(line, ",\"%s\":\"", field->key);
	logs_add_json_escaped(line, value);
	strbuf_add_char(line, '"');
}

static bool is_glib_field(const char *key)
{
	return !strcmp(key, "PRIORITY") || !strcmp(key, "GLIB_DOMAIN") ||
	       !strncmp(key, "CODE_", 5);
}

static GLogWriterOutput write_line(GLogLevelFlags level,
				   const GLogField *fields, gsize count,
				   gpointer data)
{
	struct strbuf line;
	ssize_t written;
	gsize i;

	(void)data;
	strbuf_init(&line);
	add_time(&line);
	strbuf_addf(&line, ",\"level\":\"%s\",\"vm\":\"%s\"", level_name(level),
		    vm_name);
	for (i = 0; i < count; i++)
		if (!is_glib_field(fields[i].key))
			add_field(&line, &fields[i]);
	strbuf_add(&line, STR("}\n"));
	written = write(out_fd, line.ptr, line.len);
	/* Only a rate-limited log has a non-blocking descriptor. */
	if (written < 0 && errno == EAGAIN)
		dropped_lines++;
	strbuf_free(&line);
	return written < 0 ? G_LOG_WRITER_UNHANDLED : G_LOG_WRITER_HANDLED;
}

/*
 * Rate limit of one event name. There is no lock, so only single-threaded
 * processes use it.
 */
struct event_limit {
	const char *event;
	/* Second of CLOCK_MONOTONIC to which the counts belong. */
	time_t second;
	uint32_t lines;
	uint32_t suppressed;
};

#define MAX_EVENTS 64

static struct event_limit event_limits[MAX_EVENTS];

/* Finds or adds the limit of an event; NULL if the table is full. */
static struct event_limit *find_event_limit(const char *event)
{
	size_t i;

	for (i = 0; i < MAX_EVENTS && event_limits[i].event; i++)
		if (!strcmp(event_limits[i].event, event))
			return &event_limits[i];
	if (i == MAX_EVENTS)
		return NULL;
	event_limits[i].event = event;
	return &event_limits[i];
}

static void report_lost(const char *event, uint32_t lines)
{
	char count[24];
	GLogField out[] = {{"event", "left_out", -1},
			   {"class", event, -1},
			   {"#lines", count, -1}};

	snprintf(count, sizeof(count), "%u", lines);
	g_log_structured_array(G_LOG_LEVEL_WARNING, out, 3);
}

/*
 * Counts a line; returns false if the event has used up its lines of this
 * second. The first line of a second also reports the lines lost before it.
 */
static bool admit_line(const char *event)
{
	struct event_limit *limit = find_event_limit(event);
	uint32_t lost;
	struct timespec now;

	if (!limit)
		return true;
	clock_gettime(CLOCK_MONOTONIC, &now);
	if (limit->second != now.tv_sec) {
		lost = limit->suppressed;
		limit->second = now.tv_sec;
		limit->lines = 0;
		limit->suppressed = 0;
		if (lost)
			report_lost(event, lost);
		lost = dropped_lines;
		dropped_lines = 0;
		if (lost)
			report_lost("all events: log reader too slow", lost);
	}
	if (limit->lines >= MAX_LINES_PER_S) {
		limit->suppressed++;
		return false;
	}
	limit->lines++;
	return true;
}

void logs_setup(const struct logs_opts *opts)
{
	struct strbuf escaped;

	max_level = opts->level;
	rate_limited = opts->to_stdout;
	out_fd = opts->to_stdout ? STDOUT_FILENO : STDERR_FILENO;
	/* If the reader stalls, lines are dropped and the process goes on. */
	if (rate_limited)
		fcntl(out_fd, F_SETFL, fcntl(out_fd, F_GETFL) | O_NONBLOCK);
	strbuf_init(&escaped);
	logs_add_json_escaped(&escaped, opts->vm);
	str_copy(vm_name, sizeof(vm_name), strbuf_view(&escaped));
	strbuf_free(&escaped);
	/* GLib aborts if a writer function is set twice. */
	if (!installed)
		g_log_set_writer_func(write_line, NULL, NULL);
	installed = true;
}

void logs_set_level(enum logs_level level)
{
	max_level = level;
}

bool logs_enabled(enum logs_level level)
{
	return level <= max_level;
}

#define MAX_FIELDS 16
#define NUMBER_SIZE 24

void logs_event(enum logs_level level, const char *event,
		const struct logs_field *fields, size_t count)
{
	GLogField out[MAX_FIELDS + 1];
	char numbers[MAX_FIELDS][NUMBER_SIZE];
	size_t i;

	if (!logs_enabled(level) || (rate_limited && !admit_line(event)))
		return;
	if (count > MAX_FIELDS)
		count = MAX_FIELDS;
	out[0] = (GLogField){"event", event, -1};
	for (i = 0; i < count; i++) {
		const struct logs_field *f = &fields[i];

		if (f->kind == LOGS_TEXT) {
			out[i + 1] = (GLogField){f->name,
						 f->text.ptr ? f->text.ptr : "",
						 (gssize)f->text.len};
			continue;
		}
		snprintf(numbers[i], NUMBER_SIZE, "%lld", (long long)f->number);
		out[i + 1] = (GLogField){f->name, numbers[i], -1};
	}
	g_log_structured_array(glib_level[level], out, count + 1);
}

void logs_msg(enum logs_level level, const char *event, const char *fmt, ...)
{
	char text[1024];
	va_list ap;

	if (!logs_enabled(level))
		return;
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	logs_event(level, event,
		   (struct logs_field[]){LOGS_STR("message", str_from(text))},
		   1);
}
