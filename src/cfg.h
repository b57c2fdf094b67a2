#ifndef CFG_H
#define CFG_H

#include <stdbool.h>
#include <stdint.h>

#include "arn.h"
#include "err.h"
#include "str.h"

struct json_object;

/*
 * Checked reading of JSON with comments. A struct is described by a table of
 * fields; every fault adds one line "FILE: PATH: what is wrong, what would be
 * right" to errors, and reading goes on, so that one run names all faults.
 */
struct cfg_doc {
	struct json_object *root;
	struct str file;
	struct arn *arena;
	struct strbuf errors;
	unsigned error_count;
	/* Path of the value that is read now, such as "services[2].floor". */
	struct strbuf path;
};

enum cfg_type {
	/* struct str, copied into the arena; min and max bound its length */
	CFG_STR,
	/* int64_t within min..max */
	CFG_INT,
	/* bool */
	CFG_BOOL,
	/* int64_t nanoseconds from a number of milliseconds within min..max */
	CFG_MS,
	/* int64_t from names */
	CFG_ENUM,
	/* anything; read is called with the value and the struct */
	CFG_CUSTOM,
	/* list; read is called for each element with the struct */
	CFG_LIST,
};

struct cfg_enum_name {
	const char *name;
	int64_t value;
};

struct cfg_field {
	const char *name;
	enum cfg_type type;
	size_t offset;
	int64_t min;
	int64_t max;
	bool required;
	/* Ends with a NULL name. */
	const struct cfg_enum_name *names;
	void (*read)(struct cfg_doc *doc, struct json_object *value, void *out);
};

/* The arena receives strings and outlives the document. */
void cfg_init(struct cfg_doc *doc, struct str file, struct arn *arena);
void cfg_free(struct cfg_doc *doc);
/* ERR_INVALID with a line that gives the byte offset of a syntax fault. */
enum err cfg_parse(struct cfg_doc *doc, struct str text);
/* Reads object by the table (ended by a NULL name) into the struct out. */
void cfg_read_object(struct cfg_doc *doc, struct json_object *object,
		     const struct cfg_field *fields, void *out);
/* Adds an error line at the current path. */
void cfg_error(struct cfg_doc *doc, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Path handling for CFG_CUSTOM readers: push returns the mark for pop. */
size_t cfg_path_push(struct cfg_doc *doc, const char *name);
size_t cfg_path_push_index(struct cfg_doc *doc, size_t index);
void cfg_path_pop(struct cfg_doc *doc, size_t mark);
/* Value as a string view; an error line and false when it is none. */
bool cfg_get_str(struct cfg_doc *doc, struct json_object *value,
		 struct str *out);
/* Whole file; ERR_NOT_FOUND or ERR_IO. */
enum err cfg_read_file(struct str path, struct strbuf *out);

#endif
