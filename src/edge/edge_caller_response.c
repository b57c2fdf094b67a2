#include "edge_caller_connection_internal.h"

static void add_connection_field(struct edge *e, struct cconn_row *c)
{
	/* While the VM stops, what was started is still answered. */
	if ((e->leaving && hnd_eq(c->next, HND_NONE)) || !c->keep_alive)
		c->closing = true;
	if (c->closing)
		strbuf_add(&c->out, STR("Connection: close\r\n"));
}

static const char *reason_phrase(int status)
{
	static const struct {
		int status;
		const char *phrase;
	} reason_phrases[] = {
		{200, "OK"},
		{400, "Bad Request"},
		{401, "Unauthorized"},
		{404, "Not Found"},
		{408, "Request Timeout"},
		{413, "Payload Too Large"},
		{429, "Too Many Requests"},
		{431, "Request Header Fields Too Large"},
		{502, "Bad Gateway"},
		{503, "Service Unavailable"},
		{504, "Gateway Timeout"},
	};
	size_t i;

	for (i = 0; i < sizeof(reason_phrases) / sizeof(reason_phrases[0]); i++)
		if (reason_phrases[i].status == status)
			return reason_phrases[i].phrase;
	return "Status";
}

void cconn_send_response(struct edge *e, struct cconn_row *c, struct hnd h,
			 int status, const char *type, struct str body,
			 int64_t retry_after_ns)
{
	strbuf_addf(&c->out, "HTTP/1.1 %d %s\r\n", status,
		    reason_phrase(status));
	if (body.len)
		strbuf_addf(&c->out, "Content-Type: %s\r\n", type);
	if (status == 401)
		strbuf_add(&c->out, STR("WWW-Authenticate: Bearer\r\n"));
	if (retry_after_ns)
		strbuf_addf(&c->out, "Retry-After: %.3f\r\n",
			    (double)retry_after_ns / (double)NS_PER_S);
	add_connection_field(e, c);
	strbuf_addf(&c->out, "Content-Length: %zu\r\n\r\n", body.len);
	strbuf_add(&c->out, body);
	cconn_finish_response(e, c, h);
}

void cconn_respond(struct edge *e, struct hnd caller, int status,
		   const char *reason, int64_t retry_after_ns)
{
	struct cconn_row *c = cconn_get(e, caller);
	struct strbuf body;

	if (!c)
		return;
	strbuf_init(&body);
	strbuf_addf(&body, "{\"reason\":\"%s\"}", reason);
	cconn_send_response(e, c, caller, status, "application/json",
			    strbuf_view(&body), retry_after_ns);
	strbuf_free(&body);
}

void cconn_begin_response(struct edge *e, struct hnd caller, int status,
			  struct str phrase, struct str fields, int64_t length)
{
	struct cconn_row *c = cconn_get(e, caller);

	if (!c)
		return;
	c->response_begun = true;
	strbuf_addf(&c->out, "HTTP/1.1 %d %.*s\r\n", status, STR_FMT(phrase));
	strbuf_add(&c->out, fields);
	add_connection_field(e, c);
	c->chunked_response = length == CCONN_CHUNKED && !c->http_1_0;
	c->ends_with_close = length == CCONN_CHUNKED && c->http_1_0;
	if (c->chunked_response)
		strbuf_add(&c->out, STR("Transfer-Encoding: chunked\r\n\r\n"));
	else if (status == 204 || status == 304 || length < 0)
		strbuf_add(&c->out, STR("\r\n"));
	else
		strbuf_addf(&c->out, "Content-Length: %lld\r\n\r\n",
			    (long long)length);
}

void cconn_send_body(struct edge *e, struct hnd caller, struct str data)
{
	struct cconn_row *c = cconn_get(e, caller);

	if (!c || !data.len)
		return;
	if (c->chunked_response)
		strbuf_addf(&c->out, "%zx\r\n", data.len);
	strbuf_add(&c->out, data);
	if (c->chunked_response)
		strbuf_add(&c->out, STR("\r\n"));
	cconn_send_pending(e, c, caller);
}

void cconn_end_response(struct edge *e, struct hnd caller)
{
	struct cconn_row *c = cconn_get(e, caller);

	if (!c)
		return;
	if (c->chunked_response)
		strbuf_add(&c->out, STR("0\r\n\r\n"));
	c->chunked_response = false;
	cconn_finish_response(e, c, caller);
}
