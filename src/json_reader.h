#ifndef JSON_READER_H
#define JSON_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "arena.h"
#include "error_code.h"
#include "counted_string.h"

struct json_object;

/*
 * Validating reader of JSON files with comments. A table of fields describes
 * how an object is read into a struct. Each error adds one line
 * "FILE: PATH: what is wrong and what is expected" to errors, and reading
 * continues, so that one run reports all errors.
 */
struct cfg_doc {
	struct json_object *root;
	struct str file;
	/* Receives the strings that are read. */
	struct arn *arena;
	struct strbuf errors;
	unsigned error_count;
	/* Path of the current value, such as "services[2].floor". */
	struct strbuf path;
};

enum cfg_type {
	/*
	 * struct str, copied into the arena; min and max limit its length, a
	 * max of 0 is no limit
	 */
	CFG_STR,
	/* int64_t within min..max */
	CFG_INT,
	/* bool */
	CFG_BOOL,
	/* int64_t in nanoseconds, given in milliseconds within min..max */
	CFG_MS,
	/* int64_t, given as one of names */
	CFG_ENUM,
	/* any type; read is called with the value and the struct */
	CFG_CUSTOM,
	/* array; read is called with each element and the struct */
	CFG_ARRAY,
};

/* A value of a CFG_ENUM field and its name in the file. */
struct cfg_enum_name {
	const char *name;
	int64_t value;
};

struct cfg_field {
	const char *name;
	enum cfg_type type;
	/* Of the member in the struct. */
	size_t offset;
	int64_t min;
	int64_t max;
	bool required;
	/* For CFG_ENUM; the last entry has a NULL name. */
	const struct cfg_enum_name *names;
	void (*read)(struct cfg_doc *doc, struct json_object *value, void *out);
};

/* The arena must outlive the document. */
void cfg_init(struct cfg_doc *doc, struct str file, struct arn *arena);
void cfg_free(struct cfg_doc *doc);
/*
 * Parses the text into root. On a syntax error or a duplicate key: ERR_INVALID
 * and an error line with the byte offset.
 */
enum err cfg_parse(struct cfg_doc *doc, struct str text);
/*
 * Reads an object into the struct out. The last entry of fields has a NULL
 * name. Members of keys that are absent keep their values.
 */
void cfg_read_object(struct cfg_doc *doc, struct json_object *object,
		     const struct cfg_field *fields, void *out);
/* Adds an error line at the current path. */
void cfg_error(struct cfg_doc *doc, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/*
 * For read callbacks: append a key or an index to the path. They return the
 * old length of the path, to which cfg_path_pop() shortens it again.
 */
size_t cfg_path_push(struct cfg_doc *doc, const char *name);
size_t cfg_path_push_index(struct cfg_doc *doc, size_t index);
void cfg_path_pop(struct cfg_doc *doc, size_t old_len);
/* Sets *out to a view of a string; adds an error if value is no string. */
bool cfg_get_str(struct cfg_doc *doc, struct json_object *value,
		 struct str *out);
/* Appends the contents of a file; ERR_NOT_FOUND or ERR_IO. */
enum err cfg_read_file(struct str path, struct strbuf *out);

#endif
