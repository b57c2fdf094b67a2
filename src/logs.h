#ifndef LOGS_H
#define LOGS_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

enum logs_level {
	LOGS_ERROR,
	LOGS_WARNING,
	LOGS_INFO,
	LOGS_DEBUG,
};

/* One member of a structured log line. */
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
	/* Name of this VM, repeated in each line. */
	struct str vm;
	/*
	 * Lines go to standard output instead of standard error, at most 200 a
	 * second for each event, and none is waited for: what is left out is
	 * counted in a line "left_out". For processes of one thread.
	 */
	bool to_stdout;
};

/* Installs a GLib log writer that prints one JSON object a line. */
void logs_setup(const struct logs_opts *opts);
/* Event is a short fixed name such as "route" or "eject". */
void logs_event(enum logs_level level, const char *event,
		const struct logs_field *fields, size_t count);
void logs_msg(enum logs_level level, const char *event, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
bool logs_enabled(enum logs_level level);
/* Appends s as the inside of a JSON string, escaped. */
void logs_add_json_escaped(struct strbuf *out, struct str s);

#endif
