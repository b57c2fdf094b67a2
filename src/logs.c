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
static bool bounded;
static uint32_t lost_lines;

/* Lines of one event class in a second; the others are counted. */
#define LINES_PER_S 200

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

/* A "#" before the key marks a number; values are never trusted for that. */
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
	/* Only a process that asked for bounds has a descriptor that refuses.
	 */
	if (written < 0 && errno == EAGAIN)
		lost_lines++;
	strbuf_free(&line);
	return written < 0 ? G_LOG_WRITER_UNHANDLED : G_LOG_WRITER_HANDLED;
}

/*
 * Lines of one event class in the current second. Used by processes of one
 * thread only.
 */
struct event_class {
	const char *event;
	time_t second;
	uint32_t lines;
	uint32_t left_out;
};

#define MAX_CLASSES 64

static struct event_class classes[MAX_CLASSES];

static struct event_class *class_of(const char *event)
{
	size_t i;

	for (i = 0; i < MAX_CLASSES && classes[i].event; i++)
		if (!strcmp(classes[i].event, event))
			return &classes[i];
	if (i == MAX_CLASSES)
		return NULL;
	classes[i].event = event;
	return &classes[i];
}

static void report_left_out(const char *event, uint32_t lines)
{
	char count[24];
	GLogField out[] = {{"event", "left_out", -1},
			   {"class", event, -1},
			   {"#lines", count, -1}};

	snprintf(count, sizeof(count), "%u", lines);
	g_log_structured_array(G_LOG_LEVEL_WARNING, out, 3);
}

/* False when the class has had its lines of this second. */
static bool is_within_bounds(const char *event)
{
	struct event_class *c = class_of(event);
	uint32_t left_out;
	struct timespec now;

	if (!c)
		return true;
	clock_gettime(CLOCK_MONOTONIC, &now);
	if (c->second != now.tv_sec) {
		left_out = c->left_out;
		c->second = now.tv_sec;
		c->lines = 0;
		c->left_out = 0;
		if (left_out)
			report_left_out(event, left_out);
		left_out = lost_lines;
		lost_lines = 0;
		if (left_out)
			report_left_out("any, as the reader was too slow",
					left_out);
	}
	if (c->lines >= LINES_PER_S) {
		c->left_out++;
		return false;
	}
	c->lines++;
	return true;
}

void logs_setup(const struct logs_opts *opts)
{
	struct strbuf escaped;

	max_level = opts->level;
	bounded = opts->to_stdout;
	out_fd = opts->to_stdout ? STDOUT_FILENO : STDERR_FILENO;
	/* A reader that stalls costs lines, not time. */
	if (bounded)
		fcntl(out_fd, F_SETFL, fcntl(out_fd, F_GETFL) | O_NONBLOCK);
	strbuf_init(&escaped);
	logs_add_json_escaped(&escaped, opts->vm);
	str_copy(vm_name, sizeof(vm_name), strbuf_view(&escaped));
	strbuf_free(&escaped);
	/* GLib aborts when a writer is set twice. */
	if (!installed)
		g_log_set_writer_func(write_line, NULL, NULL);
	installed = true;
}

bool logs_enabled(enum logs_level level)
{
	return level <= max_level;
}

#define MAX_FIELDS 16
#define NUMBER_CHARS 24

void logs_event(enum logs_level level, const char *event,
		const struct logs_field *fields, size_t count)
{
	GLogField out[MAX_FIELDS + 1];
	char numbers[MAX_FIELDS][NUMBER_CHARS];
	size_t i;

	if (!logs_enabled(level) || (bounded && !is_within_bounds(event)))
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
		snprintf(numbers[i], NUMBER_CHARS, "%lld",
			 (long long)f->number);
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
