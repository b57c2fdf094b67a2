#include "bundle.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "bundle_index.h"
#include "json_reader.h"
#include "hash_index.h"
#include "timer.h"

#define MAX_ID_BYTES 48
#define NO_INDEX UINT32_MAX
/* 2^64 divided by the golden ratio. */
#define HASH_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

/* State of bndl_parse(): tables that are filled while the text is read. */
struct parser {
	struct bndl *b;
	struct tab services;
	struct tab backends;
	struct tab routes;
	struct tab regions;
	struct tab zones;
	/*
	 * From a hash to a row number, stored as handle {number, 1}. A key
	 * whose hash is in use is stored under the next free hash.
	 */
	struct idx service_by_id;
	struct idx backend_by_id;
	struct idx backend_by_address;
	/* Index of the service that is being read. */
	uint32_t service;
};

/* Values as they are read; the ids are then resolved to indices. */
struct raw_backend {
	struct bndl_backend out;
	struct str zone_id;
};

struct raw_route {
	struct bndl_route out;
	struct str service_id;
};

static const struct cfg_enum_name profile_names[] = {
	{"fast", BNDL_FAST},
	{"careful", BNDL_CAREFUL},
	{NULL, 0},
};

static uint32_t find_by_id(const struct tab *t, struct str id)
{
	uint32_t i;

	for (i = 0; i < t->len; i++)
		if (str_eq(*(struct str *)tab_at(t, i), id))
			return i;
	return NO_INDEX;
}

/*
 * Reports an error if an earlier row has the id of the last one. The id is the
 * first member of a row.
 */
static void check_duplicate(struct cfg_doc *doc, const struct tab *t)
{
	struct str id = *(struct str *)tab_at(t, t->len - 1);
	uint32_t first = find_by_id(t, id);

	if (id.len && first != t->len - 1)
		cfg_error(doc, "id \"%.*s\" is already used by element %u",
			  STR_FMT(id), first);
}

static void read_zone(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct parser *p = out;
	struct bndl_zone *zone;
	struct str id;
	void *row;

	if (!cfg_get_str(doc, v, &id))
		return;
	tab_add(&p->zones, &row);
	zone = row;
	zone->id = arn_strdup(doc->arena, id);
	zone->region = p->regions.len - 1;
	check_duplicate(doc, &p->zones);
}

static void read_region_id(struct cfg_doc *doc, struct json_object *v,
			   void *out)
{
	struct parser *p = out;
	struct str id;

	if (!cfg_get_str(doc, v, &id))
		return;
	if (!id.len || id.len > MAX_ID_BYTES)
		cfg_error(doc, "length %zu is outside 1 to %d", id.len,
			  MAX_ID_BYTES);
	*(struct str *)tab_at(&p->regions, p->regions.len - 1) =
		arn_strdup(doc->arena, id);
	check_duplicate(doc, &p->regions);
}

static const struct cfg_field region_fields[] = {
	{"id", CFG_CUSTOM, 0, .required = true, .read = read_region_id},
	{"zones", CFG_ARRAY, 0, .required = true, .read = read_zone},
	{NULL},
};

static void read_region(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct parser *p = out;

	tab_add(&p->regions, NULL);
	cfg_read_object(doc, v, region_fields, p);
}

static const struct cfg_field backend_fields[] = {
	{"id", CFG_STR, offsetof(struct raw_backend, out.id), 1, MAX_ID_BYTES,
	 true},
	{"zone", CFG_STR, offsetof(struct raw_backend, zone_id), 1,
	 MAX_ID_BYTES, true},
	{"address", CFG_STR, offsetof(struct raw_backend, out.host), 1, 64,
	 true},
	{"port", CFG_INT, offsetof(struct raw_backend, out.port), 1, 65535,
	 true},
	{"slots", CFG_INT, offsetof(struct raw_backend, out.slots), 1, 4096,
	 true},
	{"connections", CFG_INT, offsetof(struct raw_backend, out.connections),
	 1, 1000000, true},
	{"warmup_ms", CFG_MS, offsetof(struct raw_backend, out.warmup_ns), 0,
	 3600000},
	{"draining", CFG_BOOL, offsetof(struct raw_backend, out.draining)},
	{NULL},
};

/* Returns the index of the service with this id, or NO_INDEX. */
static uint32_t find_service(const struct parser *p, struct str id)
{
	uint64_t hash;

	for (hash = str_hash(id);; hash++) {
		struct hnd h = idx_get(&p->service_by_id, hash);
		const struct bndl_service *s;

		if (hash && !h.gen)
			return NO_INDEX;
		if (!h.gen)
			continue;
		s = tab_at(&p->services, h.slot);
		if (str_eq(s->id, id))
			return h.slot;
	}
}

static void insert(struct idx *x, uint64_t hash, uint32_t number)
{
	while (!hash || idx_get(x, hash).gen)
		hash++;
	idx_put(x, hash, (struct hnd){number, 1});
}

static bool same_id(const struct bndl_backend *a, const struct bndl_backend *b)
{
	return a->service == b->service && str_eq(a->id, b->id);
}

static bool same_address(const struct bndl_backend *a,
			 const struct bndl_backend *b)
{
	return a->service == b->service && a->port == b->port &&
	       str_eq(a->host, b->host);
}

/*
 * Returns the earlier backend server for which same() returns true. If there is
 * none, inserts be, which is the last row, and returns NULL.
 */
static const struct bndl_backend *
find_or_insert(const struct parser *p, struct idx *x, uint64_t hash,
	       const struct bndl_backend *be,
	       bool (*same)(const struct bndl_backend *a,
			    const struct bndl_backend *b))
{
	uint64_t probe;

	for (probe = hash;; probe++) {
		struct hnd h = idx_get(x, probe);
		const struct bndl_backend *other;

		if (probe && !h.gen)
			break;
		if (!h.gen)
			continue;
		other = tab_at(&p->backends, h.slot);
		if (same(other, be))
			return other;
	}
	insert(x, hash, p->backends.len - 1);
	return NULL;
}

static void check_backend_duplicates(struct cfg_doc *doc, struct parser *p,
				     const struct bndl_backend *be)
{
	uint64_t address =
		(str_hash(be->host) ^ (uint64_t)be->port) * HASH_MULTIPLIER +
		be->service;
	const struct bndl_backend *other;

	if (be->id.len &&
	    find_or_insert(p, &p->backend_by_id, be->key, be, same_id))
		cfg_error(doc, "id \"%.*s\" is already used in this service",
			  STR_FMT(be->id));
	if (!be->host.len)
		return;
	other = find_or_insert(p, &p->backend_by_address, address, be,
			       same_address);
	if (other)
		cfg_error(doc, "%.*s:%lld is already the address of \"%.*s\"",
			  STR_FMT(be->host), (long long)be->port,
			  STR_FMT(other->id));
}

static void check_backend(struct cfg_doc *doc, struct parser *p,
			  struct raw_backend *raw)
{
	struct bndl_backend *be = &raw->out;
	struct bndl_service *s = tab_at(&p->services, p->service);
	uint32_t zone = find_by_id(&p->zones, raw->zone_id);

	if (raw->zone_id.len && zone == NO_INDEX)
		cfg_error(doc, "zone \"%.*s\" is in no region",
			  STR_FMT(raw->zone_id));
	if (be->connections && be->slots > be->connections)
		cfg_error(doc, "slots %lld is above connections %lld",
			  (long long)be->slots, (long long)be->connections);
	be->service = p->service;
	be->zone = zone;
	if (zone != NO_INDEX)
		be->region =
			((struct bndl_zone *)tab_at(&p->zones, zone))->region;
	be->key = bndl_backend_key(s->id, be->id);
}

static void read_backend(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct parser *p = out;
	struct raw_backend raw;
	void *row;

	memset(&raw, 0, sizeof(raw));
	cfg_read_object(doc, v, backend_fields, &raw);
	tab_add(&p->backends, &row);
	check_backend(doc, p, &raw);
	*(struct bndl_backend *)row = raw.out;
	check_backend_duplicates(doc, p, &raw.out);
}

static void read_backends(struct cfg_doc *doc, struct json_object *v, void *out)
{
	read_backend(doc, v, out);
}

static void read_method(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct bndl_service *s = out;
	struct str name;
	unsigned method;

	if (!cfg_get_str(doc, v, &name))
		return;
	method = bndl_parse_method(name);
	if (!method)
		cfg_error(doc, "\"%.*s\" is not an HTTP method", STR_FMT(name));
	if (s->idempotent & method)
		cfg_error(doc, "\"%.*s\" is listed twice", STR_FMT(name));
	s->idempotent |= method;
}

static const struct cfg_field service_fields[] = {
	{"id", CFG_STR, offsetof(struct bndl_service, id), 1, MAX_ID_BYTES,
	 true},
	{"floor_slots", CFG_INT, offsetof(struct bndl_service, floor_slots), 0,
	 1000000, true},
	{"deadline_ms", CFG_MS, offsetof(struct bndl_service, deadline_ns), 10,
	 3600000, true},
	{"idempotent", CFG_ARRAY, 0, .read = read_method},
	{"probe_path", CFG_STR, offsetof(struct bndl_service, probe_path), 1,
	 256},
	{"profile", CFG_ENUM, offsetof(struct bndl_service, profile),
	 .required = true, .names = profile_names},
	{"queue_max", CFG_INT, offsetof(struct bndl_service, queue_max), 1,
	 100000},
	{"retry_percent", CFG_INT, offsetof(struct bndl_service, retry_percent),
	 0, 10},
	{"hedge_after_ms", CFG_MS,
	 offsetof(struct bndl_service, hedge_after_ns), 0, 60000},
	{NULL},
};

/*
 * "backend_servers" is read separately, since its elements go into a table and
 * not into a struct bndl_service.
 */
static const struct cfg_field service_backend_fields[] = {
	{"backend_servers", CFG_ARRAY, 0, .required = true,
	 .read = read_backends},
	{NULL},
};

static void set_service_defaults(struct bndl_service *s)
{
	s->idempotent = BNDL_GET | BNDL_HEAD | BNDL_OPTIONS;
	s->probe_path = STR("/health");
	s->queue_max = 256;
	s->retry_percent = 10;
}

static void check_service(struct cfg_doc *doc, struct parser *p)
{
	struct bndl_service *s = tab_at(&p->services, p->service);
	int64_t capacity = 0;
	uint32_t i;

	for (i = s->first_backend; i < p->backends.len; i++)
		capacity +=
			((struct bndl_backend *)tab_at(&p->backends, i))->slots;
	if (s->floor_slots > capacity)
		cfg_error(doc,
			  "floor_slots %lld is above the capacity of "
			  "%lld slots",
			  (long long)s->floor_slots, (long long)capacity);
	if (s->probe_path.len && s->probe_path.ptr[0] != '/')
		cfg_error(doc, "probe_path must begin with \"/\"");
}

static void check_service_id(struct cfg_doc *doc, struct parser *p,
			     struct str id)
{
	uint32_t earlier = find_service(p, id);

	if (!id.len)
		return;
	if (earlier == NO_INDEX)
		insert(&p->service_by_id, str_hash(id), p->service);
	else
		cfg_error(doc, "id \"%.*s\" is already used by element %u",
			  STR_FMT(id), earlier);
}

static void read_service(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct parser *p = out;
	struct json_object *list = NULL;
	struct bndl_service *s;
	void *row;

	p->service = p->services.len;
	tab_add(&p->services, &row);
	s = row;
	set_service_defaults(s);
	s->first_backend = p->backends.len;
	if (json_object_is_type(v, json_type_object) &&
	    json_object_object_get_ex(v, "backend_servers", &list)) {
		json_object_get(list);
		json_object_object_del(v, "backend_servers");
	}
	if (json_object_is_type(v, json_type_object) &&
	    json_object_object_get_ex(v, "idempotent", NULL))
		s->idempotent = 0;
	cfg_read_object(doc, v, service_fields, s);
	s->key = str_hash(s->id);
	check_service_id(doc, p, s->id);
	if (list) {
		struct json_object *rest = json_object_new_object();

		json_object_object_add(rest, "backend_servers", list);
		cfg_read_object(doc, rest, service_backend_fields, p);
		json_object_put(rest);
	} else {
		cfg_error(doc, "key \"backend_servers\" is missing");
	}
	s->backend_count = p->backends.len - s->first_backend;
	if (list && !s->backend_count)
		cfg_error(doc, "service has no backend server");
	check_service(doc, p);
}

static const struct cfg_field route_fields[] = {
	{"host", CFG_STR, offsetof(struct raw_route, out.host), 1, 253},
	{"prefix", CFG_STR, offsetof(struct raw_route, out.prefix), 1, 1024,
	 true},
	{"service", CFG_STR, offsetof(struct raw_route, service_id), 1,
	 MAX_ID_BYTES, true},
	{NULL},
};

static void read_route(struct cfg_doc *doc, struct json_object *v, void *out)
{
	struct parser *p = out;
	struct raw_route raw;
	void *row;

	memset(&raw, 0, sizeof(raw));
	cfg_read_object(doc, v, route_fields, &raw);
	if (raw.out.prefix.len && raw.out.prefix.ptr[0] != '/')
		cfg_error(doc, "prefix must begin with \"/\"");
	raw.out.service = find_service(p, raw.service_id);
	if (raw.service_id.len && raw.out.service == NO_INDEX)
		cfg_error(doc, "service \"%.*s\" does not exist",
			  STR_FMT(raw.service_id));
	tab_add(&p->routes, &row);
	*(struct bndl_route *)row = raw.out;
}

/* Members of the root object that are not arrays. */
struct root_members {
	struct str name;
	int64_t version;
	int64_t link_bytes_per_s;
};

static const struct cfg_field root_fields[] = {
	{"name", CFG_STR, offsetof(struct root_members, name), 1, MAX_ID_BYTES,
	 true},
	{"version", CFG_INT, offsetof(struct root_members, version), 1,
	 INT64_MAX, true},
	{"link_bytes_per_s", CFG_INT,
	 offsetof(struct root_members, link_bytes_per_s), 0, INT64_MAX},
	{NULL},
};

/* In this order, since services refer to zones and routes to services. */
static const struct cfg_field array_fields[] = {
	{"regions", CFG_ARRAY, 0, .required = true, .read = read_region},
	{"services", CFG_ARRAY, 0, .required = true, .read = read_service},
	{"routes", CFG_ARRAY, 0, .required = true, .read = read_route},
	{NULL},
};

static int compare_routes(const void *x, const void *y)
{
	const struct bndl_route *a = x;
	const struct bndl_route *b = y;
	int order = str_cmp(a->host, b->host);

	if (order)
		return order;
	if (a->prefix.len != b->prefix.len)
		return a->prefix.len > b->prefix.len ? -1 : 1;
	return str_cmp(a->prefix, b->prefix);
}

static void check_routes(struct cfg_doc *doc, const struct bndl *b)
{
	uint32_t i;

	for (i = 1; i < b->route_count; i++)
		if (!compare_routes(&b->routes[i - 1], &b->routes[i]))
			cfg_error(doc, "routes: \"%.*s%.*s\" is listed twice",
				  STR_FMT(b->routes[i].host),
				  STR_FMT(b->routes[i].prefix));
}

/* Copies the rows of a table into the arena of the bundle. */
static void *copy_rows(struct bndl *b, const struct tab *t, uint32_t *count)
{
	size_t size = (size_t)t->len * t->row_size;
	void *p = arn_alloc(&b->arena, size ? size : 1);

	if (size)
		memcpy(p, t->rows, size);
	*count = t->len;
	return p;
}

static void fill_bundle(struct parser *p, const struct root_members *members)
{
	struct bndl *b = p->b;

	b->name = members->name;
	b->version = members->version;
	b->link_bytes_per_s = members->link_bytes_per_s;
	b->regions = copy_rows(b, &p->regions, &b->region_count);
	b->zones = copy_rows(b, &p->zones, &b->zone_count);
	b->services = copy_rows(b, &p->services, &b->service_count);
	b->backends = copy_rows(b, &p->backends, &b->backend_count);
	b->routes = copy_rows(b, &p->routes, &b->route_count);
	if (b->route_count)
		qsort(b->routes, b->route_count, sizeof(*b->routes),
		      compare_routes);
}

static void init_parser(struct parser *p, struct bndl *b)
{
	memset(p, 0, sizeof(*p));
	p->b = b;
	tab_init(&p->services, sizeof(struct bndl_service));
	tab_init(&p->backends, sizeof(struct bndl_backend));
	tab_init(&p->routes, sizeof(struct bndl_route));
	tab_init(&p->regions, sizeof(struct str));
	tab_init(&p->zones, sizeof(struct bndl_zone));
}

static void free_parser(struct parser *p)
{
	tab_free(&p->services);
	tab_free(&p->backends);
	tab_free(&p->routes);
	tab_free(&p->regions);
	tab_free(&p->zones);
	idx_free(&p->service_by_id);
	idx_free(&p->backend_by_id);
	idx_free(&p->backend_by_address);
}

/*
 * Splits the root object, since cfg_read_object() reads into one struct: the
 * arrays go into the tables of the parser, all else into members.
 */
static void read_root(struct cfg_doc *doc, struct parser *p,
		      struct root_members *members)
{
	struct json_object *arrays = json_object_new_object();
	const struct cfg_field *f;

	if (!json_object_is_type(doc->root, json_type_object)) {
		cfg_error(doc, "expected an object");
		json_object_put(arrays);
		return;
	}
	for (f = array_fields; f->name; f++) {
		struct json_object *value;

		if (!json_object_object_get_ex(doc->root, f->name, &value))
			continue;
		json_object_object_add(arrays, f->name, json_object_get(value));
		json_object_object_del(doc->root, f->name);
	}
	cfg_read_object(doc, doc->root, root_fields, members);
	cfg_read_object(doc, arrays, array_fields, p);
	json_object_put(arrays);
}

enum err bndl_parse(struct bndl *b, struct str file, struct str text,
		    struct strbuf *errors)
{
	struct parser p;
	struct cfg_doc doc;
	struct root_members members = {0};
	enum err e;

	memset(b, 0, sizeof(*b));
	arn_init(&b->arena);
	init_parser(&p, b);
	cfg_init(&doc, file, &b->arena);
	e = cfg_parse(&doc, text);
	if (e)
		goto out;
	read_root(&doc, &p, &members);
	fill_bundle(&p, &members);
	check_routes(&doc, b);
	if (doc.error_count)
		e = ERR_INVALID;
	else
		b->index = bndl_index_build(b);
out:
	strbuf_add(errors, strbuf_view(&doc.errors));
	cfg_free(&doc);
	free_parser(&p);
	return e;
}
