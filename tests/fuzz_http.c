#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "hbod.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_view(struct str whole, struct str part)
{
	if (part.len && (part.ptr < whole.ptr ||
			 part.ptr + part.len > whole.ptr + whole.len))
		abort();
}

/* An absolute URL without a path stands for "/", which is no view. */
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
	/* The method is the parser library's own name of what was sent. */
	if (!str_starts(head, r->method))
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
		hreq_get(r, r->fields[i].name);
	}
	hreq_is_reserved(r->path);
}

/* Decodes in pieces of step bytes; returns how many bytes were consumed. */
static size_t decode(struct hbod *b, struct str in, size_t step,
		     struct strbuf *out)
{
	size_t used = 0;

	while (used < in.len && b->state != HBOD_DONE &&
	       b->state != HBOD_MALFORMED) {
		struct str piece = str_from_offset(in, used);
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
		used += n;
	}
	return used;
}

/* Guards against a body that depends on how it was cut into packets. */
static void check_body(const struct hreq *r, struct str in)
{
	struct strbuf whole, pieces;
	struct hbod a, b;
	size_t used_a, used_b;

	strbuf_init(&whole);
	strbuf_init(&pieces);
	hbod_init(&a, r);
	hbod_init(&b, r);
	used_a = decode(&a, in, SIZE_MAX, &whole);
	used_b = decode(&b, in, 1, &pieces);
	if ((a.state == HBOD_DONE) != (b.state == HBOD_DONE) ||
	    (a.state == HBOD_MALFORMED) != (b.state == HBOD_MALFORMED) ||
	    (a.state == HBOD_DONE && used_a != used_b) ||
	    !str_eq(strbuf_view(&whole), strbuf_view(&pieces)))
		abort();
	strbuf_free(&whole);
	strbuf_free(&pieces);
}

/*
 * libFuzzer target: a request of a caller, head and body. Guards against reads
 * out of bounds, views outside the head and wrong ends of a body.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct hreq r;
	struct str bytes = {(const char *)data, size};
	struct str head = bytes;

	head.len = hreq_head_len(bytes);
	if (head.len > size)
		abort();
	if (!head.len || head.len > HREQ_MAX_HEAD)
		return 0;
	if (hreq_parse(&r, head))
		return 0;
	check_head(&r, head);
	check_body(&r, str_from_offset(bytes, head.len));
	return 0;
}
