#include "http_request.h"

#include <ctype.h>
#include <http_parser.h>
#include <limits.h>
#include <string.h>

/* The longest registered method has 17. */
#define MAX_METHOD_BYTES 32
#define RESERVED_SEGMENT STR(".currantpaddle")

size_t hreq_head_len(struct str bytes)
{
	size_t i;

	for (i = 1; i < bytes.len; i++) {
		if (bytes.ptr[i] != '\n')
			continue;
		if (bytes.ptr[i - 1] == '\n')
			return i + 1;
		if (i > 1 && bytes.ptr[i - 1] == '\r' &&
		    bytes.ptr[i - 2] == '\n')
			return i + 1;
	}
	return 0;
}

/* False for a complete line that does not end with a version. */
static bool may_be_request_line(struct str bytes)
{
	struct str rest = bytes;
	struct str line = str_split(&rest, '\n');

	if (line.len == bytes.len)
		return true;
	line = str_trim(line);
	return line.len > 9 &&
	       str_starts_with(str_skip(line, line.len - 9), STR(" HTTP/"));
}

bool hreq_may_be_request(struct str bytes)
{
	struct str method;
	size_t i;

	/* Servers ignore empty lines before a request. */
	while (bytes.len && (*bytes.ptr == '\r' || *bytes.ptr == '\n'))
		bytes = str_skip(bytes, 1);
	for (i = 0; i < bytes.len && bytes.ptr[i] != ' '; i++)
		;
	method = (struct str){bytes.ptr, i};
	if (method.len > MAX_METHOD_BYTES)
		return false;
	if (!bytes.len)
		return true;
	return method.len && hreq_is_token(method) &&
	       may_be_request_line(bytes);
}

bool hreq_is_token(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (!isalnum(c) && (!c || !strchr("!#$%&'*+-.^_`|~", c)))
			return false;
	}
	return s.len > 0;
}

bool hreq_is_field_value(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

/* Excludes white space, control characters, 8-bit bytes and fragments. */
static bool is_valid_target(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c <= 0x20 || c >= 0x7f || c == '#')
			return false;
	}
	return s.len > 0;
}

/* The parser would accept a bare LF as a line end and join folded lines. */
static const char *check_line_ends(struct str head)
{
	size_t i;

	/* The parser skips line ends before the request line. */
	if (head.len && (head.ptr[0] == '\r' || head.ptr[0] == '\n'))
		return "bad request line";
	for (i = 0; i < head.len; i++) {
		/* The parser accepts CR and any byte as the end of the head. */
		if (head.ptr[i] == '\r' &&
		    (i + 1 == head.len || head.ptr[i + 1] != '\n'))
			return "bad line end";
		if (head.ptr[i] != '\n')
			continue;
		if (!i || head.ptr[i - 1] != '\r')
			return "bad line end";
		if (i + 1 < head.len &&
		    (head.ptr[i + 1] == ' ' || head.ptr[i + 1] == '\t'))
			return "folded header";
	}
	return NULL;
}

struct str hreq_header(const struct hreq *r, struct str name)
{
	size_t i;

	for (i = 0; i < r->field_count; i++)
		if (str_eq_nocase(r->fields[i].name, name))
			return r->fields[i].value;
	return STR_NONE;
}

bool hreq_has_token(struct str list, struct str token)
{
	while (list.len)
		if (str_eq_nocase(str_trim(str_split(&list, ',')), token))
			return true;
	return false;
}

static bool is_listed_in_connection(const struct hreq *r, struct str name)
{
	size_t i;

	for (i = 0; i < r->field_count; i++)
		if (str_eq_nocase(r->fields[i].name, STR("connection")) &&
		    hreq_has_token(r->fields[i].value, name))
			return true;
	return false;
}

bool hreq_is_connection_field(struct str name)
{
	static const struct str names[] = {
		STR("connection"),
		STR("keep-alive"),
		STR("proxy-authenticate"),
		STR("proxy-authorization"),
		STR("proxy-connection"),
		STR("te"),
		STR("trailer"),
		STR("transfer-encoding"),
		STR("upgrade"),
		STR("content-length"),
	};
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (str_eq_nocase(name, names[i]))
			return true;
	return false;
}

bool hreq_is_hop_by_hop(const struct hreq *r, struct str name)
{
	if (hreq_is_connection_field(name) ||
	    str_eq_nocase(name, STR("http2-settings")) ||
	    str_eq_nocase(name, STR("expect")))
		return true;
	/* A caller must not be able to remove the Host field. */
	return !str_eq_nocase(name, STR("host")) &&
	       is_listed_in_connection(r, name);
}

/*
 * Replaces a target in absolute form by its origin form and takes the host
 * from it, which overrides the Host field.
 */
static bool parse_absolute_target(struct hreq *r)
{
	static const struct str scheme = STR("http://");
	struct str target = r->target;
	struct http_parser_url url;
	size_t end = target.len;

	http_parser_url_init(&url);
	if (!str_starts_with(target, scheme) ||
	    http_parser_parse_url(target.ptr, target.len, 0, &url) ||
	    url.field_set & 1 << UF_USERINFO)
		return false;
	if (url.field_set & 1 << UF_PATH)
		end = url.field_data[UF_PATH].off;
	else if (url.field_set & 1 << UF_QUERY)
		return false;
	r->host = (struct str){target.ptr + scheme.len, end - scheme.len};
	r->target = end < target.len ? str_skip(target, end) : STR("/");
	return true;
}

static const char *set_target(struct hreq *r)
{
	struct str rest;

	if (!is_valid_target(r->target))
		return "bad request target";
	if (r->target.ptr[0] != '/' && !parse_absolute_target(r))
		return "bad request target";
	rest = r->target;
	r->path = str_split(&rest, '?');
	return NULL;
}

size_t hreq_count(const struct hreq *r, struct str name)
{
	size_t i, count = 0;

	for (i = 0; i < r->field_count; i++)
		count += str_eq_nocase(r->fields[i].name, name);
	return count;
}

/*
 * The parser itself refuses two lengths, and a length together with a transfer
 * coding.
 */
static const char *set_framing(struct hreq *r, const http_parser *p)
{
	struct str coding = hreq_header(r, STR("transfer-encoding"));

	r->chunked = coding.ptr;
	if (r->chunked &&
	    (!r->minor || !str_eq_nocase(coding, STR("chunked")) ||
	     hreq_count(r, STR("transfer-encoding")) > 1))
		return "bad Transfer-Encoding";
	r->has_length = p->content_length != ULLONG_MAX;
	if (!r->has_length)
		return NULL;
	r->length = p->content_length;
	return r->length > INT64_MAX ? "bad Content-Length" : NULL;
}

/* Excludes white space, control characters, 8-bit bytes and the bytes at which
 * a host ends in a URL. */
static bool is_valid_host(struct str s)
{
	size_t i;

	for (i = 0; i < s.len; i++) {
		unsigned char c = (unsigned char)s.ptr[i];

		if (c <= 0x20 || c >= 0x7f || strchr("/?#@\\", c))
			return false;
	}
	return true;
}

static const char *set_host(struct hreq *r)
{
	size_t hosts = hreq_count(r, STR("host"));

	if (hosts > 1 || (!hosts && r->minor))
		return "not exactly one Host";
	if (!r->host.len)
		r->host = hreq_header(r, STR("host"));
	return is_valid_host(r->host) ? NULL : "bad Host";
}

static const char *set_connection(struct hreq *r, const http_parser *p)
{
	struct str expect = hreq_header(r, STR("expect"));

	r->keep_alive = r->minor && http_should_keep_alive(p);
	r->expect_continue = r->minor &&
			     str_eq_nocase(expect, STR("100-continue"));
	return expect.len && !r->expect_continue ? "unknown expectation" : NULL;
}

/* Argument of the parser's callbacks. */
struct parse_state {
	struct hreq *r;
	/* Why the head is refused, or NULL. */
	const char *reason;
	bool complete;
};

static int on_url(http_parser *p, const char *at, size_t len)
{
	struct parse_state *state = p->data;

	state->r->target = (struct str){at, len};
	return 0;
}

/* The whole head is in one buffer, so names and values are never split. */
static int on_field_name(http_parser *p, const char *at, size_t len)
{
	struct parse_state *state = p->data;
	struct hreq *r = state->r;
	struct str name = {at, len};

	/* The parser accepts white space before the colon. */
	if (!hreq_is_token(name))
		state->reason = "bad header name";
	else if (r->field_count == HREQ_MAX_FIELDS)
		state->reason = "too many headers";
	else
		r->fields[r->field_count++].name = name;
	return state->reason != NULL;
}

static int on_field_value(http_parser *p, const char *at, size_t len)
{
	struct parse_state *state = p->data;
	struct hreq *r = state->r;
	struct str value = {at, len};

	/* The parser accepts control characters in a Connection field. */
	if (!hreq_is_field_value(value))
		state->reason = "bad header value";
	r->fields[r->field_count - 1].value = str_trim(value);
	return state->reason != NULL;
}

static const char *set_request(struct hreq *r, const http_parser *p)
{
	const char *reason = NULL;

	if (p->http_major != 1 || p->http_minor > 1)
		return "bad HTTP version";
	if (p->method == HTTP_CONNECT)
		return "method not allowed";
	r->method = str_from(http_method_str((enum http_method)p->method));
	r->minor = p->http_minor;
	reason = set_target(r);
	if (!reason)
		reason = set_framing(r, p);
	if (!reason)
		reason = set_host(r);
	if (!reason)
		reason = set_connection(r, p);
	return reason;
}

static int on_headers(http_parser *p)
{
	struct parse_state *state = p->data;

	state->complete = true;
	state->reason = set_request(state->r, p);
	return state->reason ? -1 : 0;
}

static const http_parser_settings parser_settings = {
	.on_url = on_url,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_headers,
};

const char *hreq_parse(struct hreq *r, struct str head)
{
	struct parse_state state = {.r = r};
	http_parser parser;

	memset(r, 0, sizeof(*r));
	state.reason = check_line_ends(head);
	if (state.reason)
		return state.reason;
	http_parser_init(&parser, HTTP_REQUEST);
	parser.data = &state;
	http_parser_execute(&parser, &parser_settings, head.ptr, head.len);
	if (state.reason)
		return state.reason;
	if (HTTP_PARSER_ERRNO(&parser) != HPE_OK)
		return http_errno_description(HTTP_PARSER_ERRNO(&parser));
	return state.complete ? NULL : "incomplete head";
}

static int hex_value(char c)
{
	if (c >= '0' && c <= '9')
		return c - '0';
	c = (char)tolower((unsigned char)c);
	return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

/* Decodes the character at *i, and advances *i to the last byte of it. */
static char percent_decode(struct str s, size_t *i)
{
	int high, low;

	if (s.ptr[*i] != '%' || *i + 2 >= s.len)
		return s.ptr[*i];
	high = hex_value(s.ptr[*i + 1]);
	low = hex_value(s.ptr[*i + 2]);
	if (high < 0 || low < 0)
		return s.ptr[*i];
	*i += 2;
	return (char)(high * 16 + low);
}

/*
 * Applies one path segment to the depth below the root; returns true if it is
 * the reserved segment at the root.
 */
static bool is_reserved_segment(struct str segment, int *depth)
{
	if (!segment.len || str_eq(segment, STR(".")))
		return false;
	if (str_eq(segment, STR(".."))) {
		*depth -= *depth > 0;
		return false;
	}
	if (!*depth && str_eq(segment, RESERVED_SEGMENT))
		return true;
	++*depth;
	return false;
}

bool hreq_is_reserved_path(struct str path)
{
	/* Longer than the reserved segment, so a truncated one differs. */
	char segment[16];
	size_t len = 0, i;
	int depth = 0;

	for (i = 0; i < path.len; i++) {
		char c = percent_decode(path, &i);

		if (c == '/') {
			if (is_reserved_segment((struct str){segment, len},
						&depth))
				return true;
			len = 0;
		} else if (len < sizeof(segment)) {
			segment[len++] = c;
		}
	}
	return is_reserved_segment((struct str){segment, len}, &depth);
}
