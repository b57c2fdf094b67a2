#include <stdint.h>
#include <stdlib.h>

#include "bndl.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Guards against routes and services outside the arrays of the bundle. */
static void look_up(const struct bndl *b)
{
	static const char *const paths[] = {"", "/", "/a", "/a/b?c", "*"};
	size_t i;

	for (i = 0; i < sizeof(paths) / sizeof(paths[0]); i++) {
		const struct bndl_route *r =
			bndl_find_route(b, STR("h"), str_from(paths[i]));

		if (r && r->service >= b->service_count)
			abort();
	}
	for (i = 0; i < b->service_count; i++) {
		const struct bndl_service *s = &b->services[i];
		int64_t parts = 0;
		uint32_t region;

		if (!bndl_find_service(b, s->id) ||
		    s->first_backend + s->backend_count > b->backend_count)
			abort();
		for (region = 0; region < b->region_count; region++)
			parts += bndl_region_floor(b, s, region);
		if (parts < s->floor_slots)
			abort();
	}
}

/* Guards against a signature set that changes when it is written again. */
static void seal(const struct bndl_signed *s)
{
	static const struct sig_public keys[1];
	struct bndl_signed again;
	struct strbuf text;

	if (!bndl_verify(s, keys, 1, 1))
		abort();
	strbuf_init(&text);
	bndl_encode_signed(&text, s);
	if (bndl_decode_signed(&again, strbuf_view(&text)) ||
	    again.sig_count != s->sig_count || !str_eq(again.body, s->body))
		abort();
	strbuf_free(&text);
}

/*
 * libFuzzer target: signed text of a bundle, or its body alone when there is
 * no envelope. Guards against reads out of bounds and leaks.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct bndl_signed s;
	struct strbuf errors;
	struct bndl b;

	sig_setup();
	if (!bndl_decode_signed(&s, text)) {
		seal(&s);
		text = s.body;
	}
	strbuf_init(&errors);
	if (!bndl_parse(&b, STR("f"), text, &errors))
		look_up(&b);
	else if (!errors.len)
		abort();
	bndl_free(&b);
	strbuf_free(&errors);
	return 0;
}
