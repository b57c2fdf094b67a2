#include "bundle.h"

#include "bundle_index.h"
#include "json_reader.h"

#define NO_INDEX UINT32_MAX
/* 2^64 divided by the golden ratio. */
#define HASH_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

static const struct cfg_enum_name method_names[] = {
	{"GET", BNDL_GET},	   {"HEAD", BNDL_HEAD},
	{"POST", BNDL_POST},	   {"PUT", BNDL_PUT},
	{"DELETE", BNDL_DELETE},   {"PATCH", BNDL_PATCH},
	{"OPTIONS", BNDL_OPTIONS}, {NULL, 0},
};

unsigned bndl_parse_method(struct str name)
{
	const struct cfg_enum_name *n;

	for (n = method_names; n->name; n++)
		if (str_eq(name, str_from(n->name)))
			return (unsigned)n->value;
	return 0;
}

uint64_t bndl_backend_key(struct str service, struct str backend)
{
	return str_hash(service) * HASH_MULTIPLIER ^ str_hash(backend);
}

void bndl_free(struct bndl *b)
{
	bndl_index_free(b->index);
	b->index = NULL;
	arn_free(&b->arena);
}

const struct bndl_route *bndl_find_route(const struct bndl *b, struct str host,
					 struct str path)
{
	return b->index ? bndl_index_find_route(b->index, host, path) : NULL;
}

const struct bndl_service *bndl_find_service(const struct bndl *b,
					     struct str id)
{
	return b->index ? bndl_index_find_service(b->index, id) : NULL;
}

uint32_t bndl_find_region(const struct bndl *b, struct str id)
{
	uint32_t i;

	for (i = 0; i < b->region_count; i++)
		if (str_eq(b->regions[i], id))
			return i;
	return NO_INDEX;
}

uint32_t bndl_find_zone(const struct bndl *b, struct str id)
{
	uint32_t i;

	for (i = 0; i < b->zone_count; i++)
		if (str_eq(b->zones[i].id, id))
			return i;
	return NO_INDEX;
}

int64_t bndl_region_floor(const struct bndl *b, const struct bndl_service *s,
			  uint32_t region)
{
	int64_t total_slots = 0;
	int64_t region_slots = 0;
	uint32_t i;

	for (i = 0; i < s->backend_count; i++) {
		const struct bndl_backend *be =
			&b->backends[s->first_backend + i];

		total_slots += be->slots;
		if (be->region == region)
			region_slots += be->slots;
	}
	return total_slots ? (s->floor_slots * region_slots + total_slots - 1) /
				     total_slots
			   : 0;
}
