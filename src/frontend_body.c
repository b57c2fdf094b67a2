#include "frontend_body.h"

#include <stdio.h>

/* Sends 100 Continue to a caller that expects it before it sends its body. */
static enum err send_continue(struct exch *x, const struct io_wait *w)
{
	uint64_t sent = 0;

	if (!x->request->expect_continue || x->continue_sent ||
	    caller_view(x->caller).len || x->decoder.state == HBOD_DONE)
		return ERR_OK;
	x->continue_sent = true;
	return io_send(x->caller->fd, STR("HTTP/1.1 100 Continue\r\n\r\n"), w,
		       &sent)
		       ? ERR_REFUSED
		       : ERR_OK;
}

/*
 * Reads the next piece of the body; empty at its end. The view is valid until
 * the next call. ERR_INVALID for a malformed chunk.
 */
static enum err next_piece(struct exch *x, const struct io_wait *w,
			   struct str *piece)
{
	enum err e = send_continue(x, w);

	*piece = STR_NONE;
	while (!e) {
		caller_consume(x->caller,
			       hbod_decode(&x->decoder, caller_view(x->caller),
					   piece));
		if (x->decoder.state == HBOD_MALFORMED) {
			x->body_error = EXCH_BODY_MALFORMED;
			return ERR_INVALID;
		}
		if (piece->len || x->decoder.state == HBOD_DONE)
			return ERR_OK;
		e = caller_fill(x->caller, w);
		if (e == ERR_TIMEOUT)
			x->body_error = EXCH_BODY_TIMEOUT;
	}
	return e;
}

enum err body_buffer(struct exch *x)
{
	struct io_wait w = exch_wait(x, x->deadline_ns);
	struct str piece;
	enum err e;

	if (x->request->length > EXCH_BUFFERED_BODY_BYTES)
		return ERR_OK;
	/*
	 * The last piece is smaller than this limit, so the buffer never
	 * exceeds twice the limit.
	 */
	while (x->body.len < EXCH_BUFFERED_BODY_BYTES) {
		e = next_piece(x, &w, &piece);
		if (e)
			return e;
		if (!piece.len) {
			x->body_buffered = true;
			return ERR_OK;
		}
		strbuf_add(&x->body, piece);
		w.deadline_ns = tmr_now() + x->progress_timeout_ns;
	}
	x->body_buffered = x->decoder.state == HBOD_DONE;
	return ERR_OK;
}

static enum err send_piece(struct exch *x, struct up_conn *up, struct str piece,
			   struct io_wait *w)
{
	char size[32];
	enum err e = ERR_OK;

	if (x->request->chunked) {
		snprintf(size, sizeof(size), "%zx\r\n", piece.len);
		e = up_send(up, str_from(size), w);
	}
	if (!e)
		e = up_send(up, piece, w);
	if (!e && x->request->chunked)
		e = up_send(up, STR("\r\n"), w);
	w->deadline_ns = tmr_now() + x->progress_timeout_ns;
	return e;
}

static enum err stream(struct exch *x, struct up_conn *up, struct io_wait *w)
{
	struct str piece;
	enum err e = ERR_OK;

	/* Bytes that body_buffer() read before the body exceeded its limit. */
	if (x->body.len)
		e = send_piece(x, up, strbuf_view(&x->body), w);
	while (!e) {
		e = next_piece(x, w, &piece);
		if (e || !piece.len)
			break;
		e = send_piece(x, up, piece, w);
	}
	if (!e && x->request->chunked)
		e = up_send(up, STR("0\r\n\r\n"), w);
	return e;
}

enum err body_send(struct exch *x, struct up_conn *up, struct str head,
		   struct io_wait *w)
{
	enum err e;

	w->early_response_fd = up->fd;
	e = up_send(up, head, w);
	if (!e && x->body_buffered)
		e = up_send(up, strbuf_view(&x->body), w);
	else if (!e)
		e = stream(x, up, w);
	w->early_response_fd = -1;
	return e;
}
