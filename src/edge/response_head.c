#include "response_head.h"

#include <http_parser.h>
#include <limits.h>
#include <string.h>

static int on_reason_phrase(http_parser *p, const char *at, size_t len)
{
	struct rsp *r = p->data;

	r->phrase = (struct str){at, len};
	return 0;
}

static int on_field_name(http_parser *p, const char *at, size_t len)
{
	struct rsp *r = p->data;

	if (r->field_count == HREQ_MAX_FIELDS)
		return 1;
	r->fields[r->field_count++] = (struct hreq_field){{at, len}, STR_NONE};
	return 0;
}

static int on_field_value(http_parser *p, const char *at, size_t len)
{
	struct rsp *r = p->data;

	r->fields[r->field_count - 1].value = (struct str){at, len};
	return 0;
}

static int on_headers_complete(http_parser *p)
{
	struct rsp *r = p->data;

	r->status = p->status_code;
	r->length = p->content_length == ULLONG_MAX ? -1
		    : p->content_length > INT64_MAX
			    ? INT64_MIN
			    : (int64_t)p->content_length;
	r->keep_alive = http_should_keep_alive(p);
	/* Skips the body, which hbod decodes. */
	return 1;
}

static const http_parser_settings parser_callbacks = {
	.on_status = on_reason_phrase,
	.on_header_field = on_field_name,
	.on_header_value = on_field_value,
	.on_headers_complete = on_headers_complete,
};

struct str rsp_get(const struct rsp *r, struct str name)
{
	size_t i;

	for (i = 0; name.len && i < r->field_count; i++)
		if (str_eq_nocase(r->fields[i].name, name))
			return r->fields[i].value;
	return STR_NONE;
}

bool rsp_is_hop_by_hop(const struct rsp *r, struct str name)
{
	size_t i;

	if (hreq_is_connection_field(name))
		return true;
	for (i = 0; i < r->field_count; i++)
		if (str_eq_nocase(r->fields[i].name, STR("connection")) &&
		    hreq_has_token(r->fields[i].value, name))
			return true;
	return false;
}

static const char *check_fields(const struct rsp *r)
{
	size_t i;

	for (i = 0; i < r->field_count; i++)
		if (!hreq_is_token(r->fields[i].name) ||
		    !hreq_is_field_value(r->fields[i].value))
			return "bad header field";
	return NULL;
}

static void parse_keep_alive(struct rsp *r)
{
	struct str rest = rsp_get(r, STR("keep-alive"));

	while (rest.len) {
		struct str item = str_trim(str_split(&rest, ','));

		if (str_starts_with(item, STR("timeout=")) &&
		    !str_parse_u64(str_skip(item, 8), &r->idle_s))
			r->idle_s = 0;
	}
}

/* Informational responses precede a response. 101 would end HTTP on the
 * connection, which no request asks for. */
static bool is_known_status(int status)
{
	return status >= 100 && status <= 599 && status != 101;
}

const char *rsp_parse(struct rsp *r, struct str head, bool head_method)
{
	struct str coding;
	http_parser p;

	memset(r, 0, sizeof(*r));
	http_parser_init(&p, HTTP_RESPONSE);
	p.data = r;
	if (http_parser_execute(&p, &parser_callbacks, head.ptr, head.len) !=
		    head.len ||
	    p.http_errno != HPE_OK || !r->status)
		return "not an HTTP response";
	if (!is_known_status(r->status))
		return "unknown status";
	if (r->length < -1)
		return "Content-Length too large";
	r->declared_length = r->length;
	if (check_fields(r))
		return check_fields(r);
	coding = rsp_get(r, STR("transfer-encoding"));
	r->chunked = coding.ptr != NULL;
	if (r->chunked && !str_eq_nocase(str_trim(coding), STR("chunked")))
		return "unknown transfer coding";
	if (r->chunked && r->length >= 0)
		return "both Content-Length and chunked coding";
	if (head_method || r->status == 204 || r->status == 304 ||
	    r->status / 100 == 1) {
		r->chunked = false;
		r->length = 0;
	}
	if (r->length < 0 && !r->chunked)
		r->keep_alive = false;
	parse_keep_alive(r);
	return NULL;
}
