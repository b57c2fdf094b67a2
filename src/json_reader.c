#include "json_reader.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "json_duplicate_keys.h"
#include "timer.h"

#define READ_CHUNK_BYTES 65536

void cfg_init(struct cfg_doc *doc, struct str file, struct arn *arena)
{
	memset(doc, 0, sizeof(*doc));
	doc->file = file;
	doc->arena = arena;
	strbuf_init(&doc->errors);
	strbuf_init(&doc->path);
}

void cfg_free(struct cfg_doc *doc)
{
	json_object_put(doc->root);
	doc->root = NULL;
	strbuf_free(&doc->errors);
	strbuf_free(&doc->path);
}

static void begin_error_line(struct cfg_doc *doc)
{
	doc->error_count++;
	strbuf_addf(&doc->errors, "%.*s: ", STR_FMT(doc->file));
}

void cfg_error(struct cfg_doc *doc, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	begin_error_line(doc);
	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	if (doc->path.len)
		strbuf_addf(&doc->errors, "%s: ", strbuf_cstr(&doc->path));
	strbuf_addf(&doc->errors, "%s\n", text);
}

static enum err check_duplicate_keys(struct cfg_doc *doc, struct str text)
{
	struct str key;
	size_t offset;

	if (!cfg_find_duplicate_key(text, &key, &offset))
		return ERR_OK;
	begin_error_line(doc);
	strbuf_addf(&doc->errors,
		    "byte %zu: key \"%.*s\" is given twice in one object\n",
		    offset, STR_FMT(key));
	return ERR_INVALID;
}

enum err cfg_parse(struct cfg_doc *doc, struct str text)
{
	struct json_tokener *tok = json_tokener_new();
	enum json_tokener_error why;
	size_t end;

	if (!tok)
		return ERR_NOMEM;
	doc->root = json_tokener_parse_ex(tok, text.ptr, (int)text.len);
	why = json_tokener_get_error(tok);
	end = json_tokener_get_parse_end(tok);
	json_tokener_free(tok);
	if (why != json_tokener_success) {
		begin_error_line(doc);
		strbuf_addf(&doc->errors, "byte %zu: %s\n", end,
			    why == json_tokener_continue
				    ? "unexpected end of file"
				    : json_tokener_error_desc(why));
		return ERR_INVALID;
	}
	if (str_trim(str_skip(text, end)).len) {
		begin_error_line(doc);
		strbuf_addf(&doc->errors,
			    "byte %zu: text after the end of the value\n", end);
		return ERR_INVALID;
	}
	return check_duplicate_keys(doc, text);
}

size_t cfg_path_push(struct cfg_doc *doc, const char *name)
{
	size_t old_len = doc->path.len;

	if (old_len)
		strbuf_add_char(&doc->path, '.');
	strbuf_add(&doc->path, str_from(name));
	return old_len;
}

size_t cfg_path_push_index(struct cfg_doc *doc, size_t index)
{
	size_t old_len = doc->path.len;

	strbuf_addf(&doc->path, "[%zu]", index);
	return old_len;
}

void cfg_path_pop(struct cfg_doc *doc, size_t old_len)
{
	doc->path.len = old_len;
	if (doc->path.ptr)
		doc->path.ptr[old_len] = '\0';
}

bool cfg_get_str(struct cfg_doc *doc, struct json_object *value,
		 struct str *out)
{
	if (!json_object_is_type(value, json_type_string)) {
		cfg_error(doc, "expected a string");
		return false;
	}
	out->ptr = json_object_get_string(value);
	out->len = (size_t)json_object_get_string_len(value);
	return true;
}

static void read_str(struct cfg_doc *doc, const struct cfg_field *f,
		     struct json_object *value, struct str *out)
{
	struct str s;

	if (!cfg_get_str(doc, value, &s))
		return;
	if ((int64_t)s.len < f->min || (f->max && (int64_t)s.len > f->max)) {
		cfg_error(doc, "length %zu is outside %lld to %lld", s.len,
			  (long long)f->min, (long long)f->max);
		return;
	}
	if (memchr(s.ptr, '\0', s.len)) {
		cfg_error(doc, "string contains a NUL byte");
		return;
	}
	*out = arn_strdup(doc->arena, s);
}

static bool read_int(struct cfg_doc *doc, const struct cfg_field *f,
		     struct json_object *value, int64_t *out)
{
	int64_t n;

	if (!json_object_is_type(value, json_type_int)) {
		cfg_error(doc, "expected a whole number");
		return false;
	}
	n = json_object_get_int64(value);
	if (n < f->min || n > f->max) {
		cfg_error(doc, "%lld is outside %lld to %lld", (long long)n,
			  (long long)f->min, (long long)f->max);
		return false;
	}
	*out = n;
	return true;
}

static void read_enum(struct cfg_doc *doc, const struct cfg_field *f,
		      struct json_object *value, int64_t *out)
{
	const struct cfg_enum_name *n;
	struct strbuf allowed;
	struct str s;

	if (!cfg_get_str(doc, value, &s))
		return;
	for (n = f->names; n->name; n++) {
		if (str_eq(s, str_from(n->name))) {
			*out = n->value;
			return;
		}
	}
	strbuf_init(&allowed);
	for (n = f->names; n->name; n++)
		strbuf_addf(&allowed, "%s\"%s\"", n == f->names ? "" : ", ",
			    n->name);
	cfg_error(doc, "\"%.*s\" is not one of %s", STR_FMT(s),
		  strbuf_cstr(&allowed));
	strbuf_free(&allowed);
}

static void read_array(struct cfg_doc *doc, const struct cfg_field *f,
		       struct json_object *value, void *out)
{
	size_t i, n;

	if (!json_object_is_type(value, json_type_array)) {
		cfg_error(doc, "expected an array");
		return;
	}
	n = json_object_array_length(value);
	for (i = 0; i < n; i++) {
		size_t old_len = cfg_path_push_index(doc, i);

		f->read(doc, json_object_array_get_idx(value, i), out);
		cfg_path_pop(doc, old_len);
	}
}

static void read_field(struct cfg_doc *doc, const struct cfg_field *f,
		       struct json_object *value, void *out)
{
	void *at = (char *)out + f->offset;

	switch (f->type) {
	case CFG_STR:
		read_str(doc, f, value, at);
		break;
	case CFG_INT:
		read_int(doc, f, value, at);
		break;
	case CFG_BOOL:
		if (json_object_is_type(value, json_type_boolean))
			*(bool *)at = json_object_get_boolean(value);
		else
			cfg_error(doc, "expected true or false");
		break;
	case CFG_MS:
		if (read_int(doc, f, value, at))
			*(int64_t *)at *= NS_PER_MS;
		break;
	case CFG_ENUM:
		read_enum(doc, f, value, at);
		break;
	case CFG_CUSTOM:
		f->read(doc, value, out);
		break;
	case CFG_ARRAY:
		read_array(doc, f, value, out);
		break;
	}
}

static void check_unknown_keys(struct cfg_doc *doc, struct json_object *object,
			       const struct cfg_field *fields)
{
	json_object_object_foreach(object, key, value)
	{
		const struct cfg_field *f;

		(void)value;
		for (f = fields; f->name; f++)
			if (!strcmp(f->name, key))
				break;
		if (!f->name) {
			size_t old_len = cfg_path_push(doc, key);

			cfg_error(doc, "unknown key");
			cfg_path_pop(doc, old_len);
		}
	}
}

void cfg_read_object(struct cfg_doc *doc, struct json_object *object,
		     const struct cfg_field *fields, void *out)
{
	const struct cfg_field *f;

	if (!json_object_is_type(object, json_type_object)) {
		cfg_error(doc, "expected an object");
		return;
	}
	check_unknown_keys(doc, object, fields);
	for (f = fields; f->name; f++) {
		struct json_object *value;
		size_t old_len;

		if (json_object_object_get_ex(object, f->name, &value)) {
			old_len = cfg_path_push(doc, f->name);
			read_field(doc, f, value, out);
			cfg_path_pop(doc, old_len);
		} else if (f->required) {
			cfg_error(doc, "key \"%s\" is missing", f->name);
		}
	}
}

enum err cfg_read_file(struct str path, struct strbuf *out)
{
	char name[4096];
	FILE *file;
	size_t n;
	int failed;

	str_copy(name, sizeof(name), path);
	file = fopen(name, "rb");
	if (!file)
		return errno == ENOENT ? ERR_NOT_FOUND : ERR_IO;
	do {
		strbuf_grow(out, READ_CHUNK_BYTES);
		n = fread(out->ptr + out->len, 1, READ_CHUNK_BYTES, file);
		out->len += n;
		out->ptr[out->len] = '\0';
	} while (n);
	failed = ferror(file);
	fclose(file);
	return failed ? ERR_IO : ERR_OK;
}
