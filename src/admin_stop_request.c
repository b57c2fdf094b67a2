#include "admin_stop_request.h"

#include <json-c/json.h>
#include <limits.h>
#include <string.h>

/* Reads an optional member; returns false if it is not a string. */
static bool get_str(struct json_object *o, const char *name, struct str *out)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v))
		return true;
	if (!json_object_is_type(v, json_type_string))
		return false;
	out->ptr = json_object_get_string(v);
	out->len = (size_t)json_object_get_string_len(v);
	return true;
}

/* Reads an optional member; returns false if it is not a boolean. */
static bool get_bool(struct json_object *o, const char *name, bool *out)
{
	struct json_object *v;

	if (!json_object_object_get_ex(o, name, &v))
		return true;
	if (!json_object_is_type(v, json_type_boolean))
		return false;
	*out = json_object_get_boolean(v);
	return true;
}

/* json-c ignores text after the first value, so it is checked for here. */
static struct json_object *parse_object(struct str text)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *o = NULL;
	size_t end;

	if (!tokener || text.len > INT_MAX)
		goto out;
	o = json_tokener_parse_ex(tokener, text.ptr, (int)text.len);
	end = json_tokener_get_parse_end(tokener);
	if (!json_object_is_type(o, json_type_object) ||
	    str_trim(str_skip(text, end)).len) {
		json_object_put(o);
		o = NULL;
	}
out:
	if (tokener)
		json_tokener_free(tokener);
	return o;
}

enum err stop_request_parse(struct stop_request *s, struct str text)
{
	memset(s, 0, sizeof(*s));
	if (!text.len)
		return ERR_INVALID;
	s->root = parse_object(text);
	if (!s->root || !get_str(s->root, "vm", &s->vm) ||
	    !get_str(s->root, "service", &s->service) ||
	    !get_str(s->root, "backend", &s->backend) ||
	    !get_bool(s->root, "undo", &s->undo))
		return ERR_INVALID;
	return !s->vm.len == !(s->service.len && s->backend.len) ? ERR_INVALID
								 : ERR_OK;
}

void stop_request_free(struct stop_request *s)
{
	json_object_put(s->root);
}
