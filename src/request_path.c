#include "request_path.h"

#include <ctype.h>
#include <string.h>

bool path_is_plain(struct str path)
{
	size_t i;

	for (i = 0; i < path.len; i++) {
		char c = path.ptr[i];
		char next = i + 1 < path.len ? path.ptr[i + 1] : '\0';

		if (c == '%' || c == '\\' ||
		    (c == '/' && (next == '/' || next == '.')))
			return false;
	}
	return true;
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static void percent_decode(struct str path, struct strbuf *out)
{
	size_t i;

	for (i = 0; i < path.len; i++) {
		int high = -1, low = -1;

		if (path.ptr[i] == '%' && i + 2 < path.len) {
			high = hex_value(path.ptr[i + 1]);
			low = hex_value(path.ptr[i + 2]);
		}
		if (high < 0 || low < 0) {
			strbuf_add_char(out, path.ptr[i]);
			continue;
		}
		strbuf_add_char(out, (char)(high * 16 + low));
		i += 2;
	}
}

/* Removes the last segment, with the slash before it, from the path that begins
 * at that offset. */
static void remove_segment(struct strbuf *out, size_t from)
{
	while (out->len > from && out->ptr[out->len - 1] != '/')
		out->len--;
	if (out->len > from)
		out->len--;
}

void path_normalize(struct str path, struct strbuf *out)
{
	size_t from = out->len, i;
	struct strbuf decoded;
	bool dots = false;
	struct str rest;

	strbuf_init(&decoded);
	percent_decode(path, &decoded);
	for (i = 0; i < decoded.len; i++)
		if (decoded.ptr[i] == '\\')
			decoded.ptr[i] = '/';
	rest = strbuf_view(&decoded);
	while (rest.len) {
		struct str segment = str_split(&rest, '/');

		dots = str_eq(segment, STR(".")) || str_eq(segment, STR(".."));
		if (str_eq(segment, STR("..")))
			remove_segment(out, from);
		if (!segment.len || dots)
			continue;
		strbuf_add_char(out, '/');
		strbuf_add(out, segment);
	}
	/* A path that ends in a slash or a dot segment names a folder. */
	if (out->len == from || dots ||
	    (decoded.len && decoded.ptr[decoded.len - 1] == '/'))
		strbuf_add_char(out, '/');
	strbuf_free(&decoded);
}
