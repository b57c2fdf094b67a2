#include <string.h>

#include "edge_backend_connection_internal.h"
#include "request.h"
#include "server_signals.h"

#define MAX_HEAD_BYTES 65536
/* A response with a body up to this size is passed to the caller only when it
 * is complete. */
#define RESPONSE_BUFFER_BYTES 65536
/* Bytes of responses that are not passed on, after which a server counts as
 * broken. */
#define MAX_DISCARDED_BYTES 1048576
/* Unsent bytes of a relayed response above which reading from the server
 * pauses. */
#define MAX_UNSENT_RESPONSE_BYTES 262144

static void deliver_data(struct edge *e, struct bconn_row *c, struct hnd h,
			 struct str data)
{
	if (c->skip_response || !data.len)
		return;
	if (!c->streaming) {
		strbuf_add(&c->response.body, data);
		if (c->response.body.len <= RESPONSE_BUFFER_BYTES)
			return;
		c->streaming = true;
		if (!req_stream_begin(e, c->req, &c->response))
			return;
		data = strbuf_view(&c->response.body);
	}
	c->reading_paused =
		req_stream_data(e, c->req, data) > MAX_UNSENT_RESPONSE_BYTES;
	strbuf_reset(&c->response.body);
	bconn_set_events(e, c, h);
}

enum parse_step {
	/* More bytes are needed. */
	STEP_WAIT,
	STEP_NEXT,
	/* The connection is idle or closed. */
	STEP_STOP,
};

static enum parse_step discard(struct edge *e, struct bconn_row *c, size_t len)
{
	c->discarded += len;
	if (c->discarded <= MAX_DISCARDED_BYTES)
		return STEP_NEXT;
	bconn_fail_attempt(e, c, HLTH_BROKEN, "bytes without end");
	return STEP_STOP;
}

static enum parse_step parse_head(struct edge *e, struct bconn_row *c)
{
	size_t len = hreq_head_len(strbuf_view(&c->in));
	struct bconn_response *resp = &c->response;
	enum req_match match;
	struct srv_row *s;
	const char *fault;

	if (!len && c->in.len > MAX_HEAD_BYTES) {
		bconn_fail_attempt(e, c, HLTH_BROKEN,
				   "response head too large");
		return STEP_STOP;
	}
	if (!len)
		return STEP_WAIT;
	strbuf_set(&resp->head, (struct str){c->in.ptr, len});
	strbuf_remove(&c->in, len);
	strbuf_reset(&resp->body);
	fault = rsp_parse(&resp->rsp, strbuf_view(&resp->head),
			  req_is_head_method(e, c->req));
	if (fault) {
		bconn_fail_attempt(e, c, HLTH_BROKEN, fault);
		return STEP_STOP;
	}
	s = bconn_server(e, c);
	if (s)
		sig_on_response(e, s, &resp->rsp);
	if (resp->rsp.status / 100 == 1)
		return discard(e, c, len);
	match = req_match_response(e, c->req, &resp->rsp, c->used_before);
	/* The one to the request may still follow, unless this is the last. */
	if (match == REQ_MATCH_UNKNOWN && !resp->rsp.keep_alive) {
		bconn_fail_attempt(e, c, HLTH_BROKEN, "response without an id");
		return STEP_STOP;
	}
	c->head_done = true;
	c->skip_response = match != REQ_MATCH;
	c->no_reuse |= c->skip_response;
	c->body_left = resp->rsp.length > 0 ? (uint64_t)resp->rsp.length : 0;
	if (resp->rsp.chunked)
		hbod_init(&c->decoder, &(struct hreq){.chunked = true});
	return STEP_NEXT;
}

static bool is_complete(const struct bconn_row *c)
{
	if (c->response.rsp.chunked)
		return c->decoder.state == HBOD_DONE;
	return c->response.rsp.length >= 0 && !c->body_left;
}

/* Decodes all chunks of the input at once, since a server may send many small
 * ones. Their data is moved to the start of the input, where *data is a view of
 * it; returns the number of bytes consumed. */
static size_t decode_chunks(struct bconn_row *c, struct str *data)
{
	size_t used = 0, len = 0;

	while (used < c->in.len && c->decoder.state != HBOD_DONE &&
	       c->decoder.state != HBOD_MALFORMED) {
		struct str piece = STR_NONE;

		used += hbod_decode(&c->decoder,
				    str_skip(strbuf_view(&c->in), used),
				    &piece);
		if (piece.len)
			memmove(c->in.ptr + len, piece.ptr, piece.len);
		len += piece.len;
	}
	*data = (struct str){c->in.ptr, len};
	return used;
}

static enum parse_step decode_body(struct edge *e, struct bconn_row *c,
				   struct hnd h)
{
	struct str in = strbuf_view(&c->in);
	struct str data = in;
	size_t used = in.len;

	if (c->response.rsp.chunked) {
		used = decode_chunks(c, &data);
	} else if (c->response.rsp.length >= 0 && used > c->body_left) {
		used = c->body_left;
		data.len = used;
	}
	if (!c->response.rsp.chunked && c->response.rsp.length >= 0)
		c->body_left -= used;
	deliver_data(e, c, h, data);
	/* A retry may have added a row, and rows move. */
	c = bconn_get(e, h);
	if (!c)
		return STEP_STOP;
	strbuf_remove(&c->in, used);
	if (c->response.rsp.chunked && c->decoder.state == HBOD_MALFORMED) {
		bconn_fail_attempt(e, c, HLTH_BROKEN, "malformed chunks");
		return STEP_STOP;
	}
	if (c->skip_response && discard(e, c, used) == STEP_STOP)
		return STEP_STOP;
	if (!is_complete(c))
		return used && c->in.len ? STEP_NEXT : STEP_WAIT;
	if (!c->skip_response) {
		bconn_finish_response(e, c, h);
		return STEP_STOP;
	}
	c->head_done = false;
	c->skip_response = false;
	return STEP_NEXT;
}

void bconn_process_input(struct edge *e, struct hnd h)
{
	enum parse_step step = STEP_NEXT;

	while (step == STEP_NEXT) {
		struct bconn_row *c = bconn_get(e, h);

		if (!c || c->state != BCONN_BUSY)
			return;
		step = c->head_done ? decode_body(e, c, h) : parse_head(e, c);
	}
}
