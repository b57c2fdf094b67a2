#include <stdint.h>
#include <stdlib.h>

#include "bundle.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * Guards against indices outside the arrays of the bundle, and against floors
 * of regions that add up to less than the floor of the service.
 */
static void check_lookups(const struct bndl *b)
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
		int64_t region_floors = 0;
		uint32_t region;

		if (!bndl_find_service(b, s->id) ||
		    s->first_backend + s->backend_count > b->backend_count)
			abort();
		for (region = 0; region < b->region_count; region++)
			region_floors += bndl_region_floor(b, s, region);
		if (region_floors < s->floor_slots)
			abort();
	}
}

/*
 * Guards against signatures and bodies that change when they are encoded and
 * decoded again.
 */
static void check_round_trip(const struct bndl_signed *s)
{
	static const struct sig_public_key keys[1];
	struct bndl_signed decoded;
	struct strbuf text;

	if (!bndl_verify(s, keys, 1, 1))
		abort();
	strbuf_init(&text);
	bndl_encode_signed(&text, s);
	if (bndl_decode_signed(&decoded, strbuf_view(&text)) ||
	    decoded.sig_count != s->sig_count || !str_eq(decoded.body, s->body))
		abort();
	strbuf_free(&text);
}

/*
 * libFuzzer target: a signed bundle, or the body of one when the envelope is
 * malformed. Guards against reads out of bounds, leaks, and invalid bundles
 * without an error line.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct bndl_signed s;
	struct strbuf errors;
	struct bndl b;

	sig_setup();
	if (!bndl_decode_signed(&s, text)) {
		check_round_trip(&s);
		text = s.body;
	}
	strbuf_init(&errors);
	if (!bndl_parse(&b, STR("f"), text, &errors))
		check_lookups(&b);
	else if (!errors.len)
		abort();
	bndl_free(&b);
	strbuf_free(&errors);
	return 0;
}
