#ifndef LOGS_H
#define LOGS_H

#include <stdbool.h>
#include <stdint.h>

#include "counted_string.h"

enum logs_level {
	LOGS_ERROR,
	LOGS_WARNING,
	LOGS_INFO,
	LOGS_DEBUG,
};

/* One member of a log line, made by LOGS_STR() or LOGS_INT(). */
struct logs_field {
	const char *name;
	enum { LOGS_TEXT, LOGS_NUMBER } kind;
	struct str text;
	int64_t number;
};

#define LOGS_STR(name, value)                 \
	{                                     \
		(name), LOGS_TEXT, (value), 0 \
	}
#define LOGS_INT(name, value)                                      \
	{                                                          \
		"#" name, LOGS_NUMBER, {NULL, 0}, (int64_t)(value) \
	}

struct logs_opts {
	enum logs_level level;
	/* Identifier of this VM, repeated in each line. */
	struct str vm;
	/*
	 * Log to standard output instead of standard error, at most 200 lines
	 * a second for each event name, without ever blocking. Lines that were
	 * lost are counted in an event "left_out". Only for single-threaded
	 * processes.
	 */
	bool to_stdout;
};

/*
 * Installs a GLib log writer that prints one JSON object per line. May be
 * called again to change the options.
 */
void logs_setup(const struct logs_opts *opts);
/*
 * Writes a line with an event name, such as "route" or "eject", and at most 16
 * fields. The name must be a string that stays valid.
 */
void logs_event(enum logs_level level, const char *event,
		const struct logs_field *fields, size_t count);
/* Writes a line whose only field is "message"; longer text is truncated. */
void logs_msg(enum logs_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void logs_set_level(enum logs_level level);
bool logs_enabled(enum logs_level level);
/* Appends s escaped for use inside a JSON string, without the quotes. */
void logs_add_json_escaped(struct strbuf *out, struct str s);

#endif
