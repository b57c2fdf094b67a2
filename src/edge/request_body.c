#include "caller_memory.h"
#include "request_internal.h"

/* A body up to this size is buffered before a server is chosen, so that the
 * request can be retried where that is allowed. */
#define BODY_BUFFER_BYTES 1048576
/* Unsent bytes of a streamed body above which reading from the caller
 * pauses. */
#define MAX_UNSENT_BODY_BYTES 262144

static void append_framing(const struct req_row *r, struct strbuf *out)
{
	if (!r->body_done && r->chunked)
		strbuf_add(out, STR("Transfer-Encoding: chunked\r\n"));
	else if (!r->body_done)
		strbuf_addf(out, "Content-Length: %llu\r\n",
			    (unsigned long long)r->length);
	else if (r->body.len || r->chunked || r->has_length)
		strbuf_addf(out, "Content-Length: %zu\r\n", r->body.len);
}

static void append_body(const struct req_row *r, struct strbuf *out,
			struct str data)
{
	bool chunked = r->streaming && r->chunked;

	if (!data.len)
		return;
	if (chunked)
		strbuf_addf(out, "%zx\r\n", data.len);
	strbuf_add(out, data);
	if (chunked)
		strbuf_add(out, STR("\r\n"));
}

void req_send(struct edge *e, struct hnd h)
{
	struct req_row *r = req_get(e, h);
	const struct srv_row *s = req_server(e, r);
	int64_t left_ms = (r->expires_ns - e->ev.now_ns) / NS_PER_MS;
	struct strbuf out;

	if (!s || s->state == SRV_GONE) {
		req_change_server(e, h);
		return;
	}
	strbuf_init(&out);
	strbuf_add(&out, strbuf_view(&r->head));
	if (e->headers->deadline_ms.len)
		strbuf_addf(&out, "%.*s: %lld\r\n",
			    STR_FMT(e->headers->deadline_ms),
			    (long long)(left_ms > 1 ? left_ms : 1));
	if (e->headers->expect_server.len)
		strbuf_addf(&out, "%.*s: %s\r\n",
			    STR_FMT(e->headers->expect_server), s->id);
	r->streaming = !r->body_done;
	append_framing(r, &out);
	strbuf_add(&out, STR("\r\n"));
	append_body(r, &out, strbuf_view(&r->body));
	if (r->streaming)
		strbuf_free(&r->body);
	r->state = REQ_SENT;
	r->sent_ns = e->ev.now_ns;
	r->sends++;
	r->may_be_running = true;
	bconn_send(e, r->backend_conn, strbuf_view(&out), r->body_done);
	strbuf_free(&out);
	cmem_update(e, r->caller);
}

bool req_wants_body(const struct edge *e, struct hnd h)
{
	const struct req_row *r = req_get(e, h);

	if (!r)
		return true;
	if (r->streaming)
		return bconn_unsent_bytes(e, r->backend_conn) <
		       MAX_UNSENT_BODY_BYTES;
	return r->body.len <= BODY_BUFFER_BYTES;
}

bool req_body_received(struct edge *e, struct hnd h, struct str data, bool done)
{
	struct req_row *r = req_get(e, h);
	struct strbuf out;

	if (!r)
		return true;
	r->body_done |= done;
	r->body_bytes += data.len;
	if (!r->streaming) {
		strbuf_add(&r->body, data);
		if (r->state == REQ_RECEIVING && req_is_body_buffered(r))
			req_dispatch(e, h);
		return req_wants_body(e, h);
	}
	strbuf_init(&out);
	append_body(r, &out, data);
	if (done && r->chunked)
		strbuf_add(&out, STR("0\r\n\r\n"));
	bconn_send(e, r->backend_conn, strbuf_view(&out), done);
	strbuf_free(&out);
	return req_wants_body(e, h);
}

bool req_is_body_buffered(const struct req_row *r)
{
	return r->body_done || r->body.len > BODY_BUFFER_BYTES;
}
