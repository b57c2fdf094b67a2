#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "http_body.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Aborts unless part lies within whole. */
static void check_view(struct str whole, struct str part)
{
	if (part.len && (part.ptr < whole.ptr ||
			 part.ptr + part.len > whole.ptr + whole.len))
		abort();
}

/* For an absolute URL without a path, the target is a constant "/". */
static void check_target(struct str head, struct str target)
{
	if (!str_eq(target, STR("/")))
		check_view(head, target);
}

static void check_head(const struct hreq *r, struct str head)
{
	size_t i;

	if (r->field_count > HREQ_MAX_FIELDS || (r->chunked && r->has_length))
		abort();
	if (!hreq_is_token(r->method) || !r->target.len)
		abort();
	/* The method is a constant of the parser library, not a view. */
	if (!str_starts_with(head, r->method))
		abort();
	check_target(head, r->target);
	check_target(head, r->path);
	check_view(head, r->host);
	for (i = 0; i < r->field_count; i++) {
		check_view(head, r->fields[i].name);
		check_view(head, r->fields[i].value);
		if (!hreq_is_token(r->fields[i].name) ||
		    !hreq_is_field_value(r->fields[i].value))
			abort();
		hreq_is_hop_by_hop(r, r->fields[i].name);
		hreq_header(r, r->fields[i].name);
	}
	hreq_is_reserved_path(r->path);
}

/* Decodes in pieces of step bytes; returns the number of bytes consumed. */
static size_t decode(struct hbod *b, struct str in, size_t step,
		     struct strbuf *out)
{
	size_t consumed = 0;

	while (consumed < in.len && b->state != HBOD_DONE &&
	       b->state != HBOD_MALFORMED) {
		struct str piece = str_skip(in, consumed);
		struct str data;
		size_t n;

		if (piece.len > step)
			piece.len = step;
		n = hbod_decode(b, piece, &data);
		if (n > piece.len ||
		    (!n && piece.len && !data.len && b->state != HBOD_DONE &&
		     b->state != HBOD_MALFORMED))
			abort();
		check_view(piece, data);
		strbuf_add(out, data);
		consumed += n;
	}
	return consumed;
}

/*
 * Decodes a body at once and byte by byte; aborts if the results differ, since
 * they must not depend on how the body was split into packets.
 */
static void check_body(const struct hreq *r, struct str in)
{
	struct strbuf whole, pieces;
	struct hbod a, b;
	size_t consumed_a, consumed_b;

	strbuf_init(&whole);
	strbuf_init(&pieces);
	hbod_init(&a, r);
	hbod_init(&b, r);
	consumed_a = decode(&a, in, SIZE_MAX, &whole);
	consumed_b = decode(&b, in, 1, &pieces);
	if ((a.state == HBOD_DONE) != (b.state == HBOD_DONE) ||
	    (a.state == HBOD_MALFORMED) != (b.state == HBOD_MALFORMED) ||
	    (a.state == HBOD_DONE && consumed_a != consumed_b) ||
	    !str_eq(strbuf_view(&whole), strbuf_view(&pieces)))
		abort();
	strbuf_free(&whole);
	strbuf_free(&pieces);
}

/*
 * libFuzzer target: a caller's request, head and body. Guards against reads
 * out of bounds, views outside the head and bodies with a wrong end.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct hreq r;
	struct str bytes = {(const char *)data, size};
	struct str head = bytes;

	head.len = hreq_head_len(bytes);
	if (head.len > size)
		abort();
	if (!head.len || head.len > HREQ_MAX_HEAD_BYTES)
		return 0;
	if (hreq_parse(&r, head))
		return 0;
	check_head(&r, head);
	check_body(&r, str_skip(bytes, head.len));
	return 0;
}
