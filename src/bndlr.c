#include "bndlr.h"

#include <stdlib.h>
#include <string.h>

#include "idx.h"

#define MAX_HOST 253
#define NO_GROUP UINT32_MAX
/* 2^64 divided by the golden ratio. */
#define HASH_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

/* The adjacent routes of one host in one spelling, from the first on. */
struct group {
	uint32_t first;
	uint32_t count;
	/* Distinct prefix lengths in bndlr.lengths, descending. */
	uint32_t first_length;
	uint32_t length_count;
	/* Next group whose host differs from this one in case only. */
	uint32_t next;
};

struct bndlr {
	const struct bndl *b;
	struct tab groups;
	struct tab lengths;
	/* Row numbers as handles {number, 1}; a hash that is taken is
	 * incremented until a free one is found. */
	struct idx group_by_host;
	struct idx route_by_prefix;
	struct idx service_by_id;
	/* Routes without a host; NO_GROUP when there are none. */
	uint32_t any_host_group;
};

/* Hash of the host in lower case: equal for hosts that are equal by
 * str_eq_nocase(). */
static uint64_t host_hash(struct str host)
{
	char lower[MAX_HOST];
	size_t i;

	for (i = 0; i < host.len; i++)
		lower[i] = (char)(host.ptr[i] >= 'A' && host.ptr[i] <= 'Z'
					  ? host.ptr[i] + ('a' - 'A')
					  : host.ptr[i]);
	return str_hash((struct str){lower, host.len});
}

static uint64_t prefix_hash(uint32_t group, struct str prefix)
{
	return str_hash(prefix) ^ (group + UINT64_C(1)) * HASH_MULTIPLIER;
}

/* Inserts number under the first free hash from hash on. */
static void insert(struct idx *x, uint64_t hash, uint32_t number)
{
	while (!hash || idx_get(x, hash).gen)
		hash++;
	idx_put(x, hash, (struct hnd){number, 1});
}

static struct group *group_at(const struct bndlr *r, uint32_t i)
{
	return tab_at(&r->groups, i);
}

static struct str group_host(const struct bndlr *r, uint32_t i)
{
	return r->b->routes[group_at(r, i)->first].host;
}

/* First group whose host is equal, ignoring case. */
static uint32_t find_group(const struct bndlr *r, struct str host)
{
	uint64_t hash;
	struct hnd h;

	if (!host.len || host.len > MAX_HOST)
		return NO_GROUP;
	for (hash = host_hash(host);; hash++) {
		h = idx_get(&r->group_by_host, hash);
		if (hash && !h.gen)
			return NO_GROUP;
		if (h.gen && str_eq_nocase(group_host(r, h.slot), host))
			return h.slot;
	}
}

/* Routes are sorted by host, so groups are added in the order of hosts. */
static void add_group(struct bndlr *r, uint32_t first, uint32_t count)
{
	struct str host = r->b->routes[first].host;
	uint32_t number = r->groups.len;
	uint32_t other = find_group(r, host);
	struct group *g;
	void *row;
	uint32_t i;

	tab_add(&r->groups, &row);
	g = row;
	*g = (struct group){first, count, r->lengths.len, 0, NO_GROUP};
	for (i = first; i < first + count; i++) {
		size_t len = r->b->routes[i].prefix.len;

		insert(&r->route_by_prefix,
		       prefix_hash(number, r->b->routes[i].prefix), i);
		if (i > first && len == r->b->routes[i - 1].prefix.len)
			continue;
		tab_add(&r->lengths, &row);
		*(size_t *)row = len;
		g->length_count++;
	}
	if (!host.len) {
		r->any_host_group = number;
	} else if (other == NO_GROUP) {
		insert(&r->group_by_host, host_hash(host), number);
	} else {
		while (group_at(r, other)->next != NO_GROUP)
			other = group_at(r, other)->next;
		group_at(r, other)->next = number;
	}
}

struct bndlr *bndlr_build(const struct bndl *b)
{
	struct bndlr *r = calloc(1, sizeof(*r));
	uint32_t i, first = 0;

	if (!r)
		abort();
	r->b = b;
	r->any_host_group = NO_GROUP;
	tab_init(&r->groups, sizeof(struct group));
	tab_init(&r->lengths, sizeof(size_t));
	for (i = 1; i <= b->route_count; i++) {
		if (i < b->route_count &&
		    str_eq(b->routes[i].host, b->routes[first].host))
			continue;
		add_group(r, first, i - first);
		first = i;
	}
	for (i = 0; i < b->service_count; i++)
		insert(&r->service_by_id, str_hash(b->services[i].id), i);
	return r;
}

void bndlr_free(struct bndlr *r)
{
	if (!r)
		return;
	tab_free(&r->groups);
	tab_free(&r->lengths);
	idx_free(&r->group_by_host);
	idx_free(&r->route_by_prefix);
	idx_free(&r->service_by_id);
	free(r);
}

static const struct bndl_route *find_prefix(const struct bndlr *r,
					    uint32_t group, struct str prefix)
{
	const struct group *g = group_at(r, group);
	uint64_t hash;
	struct hnd h;

	for (hash = prefix_hash(group, prefix);; hash++) {
		h = idx_get(&r->route_by_prefix, hash);
		if (hash && !h.gen)
			return NULL;
		if (h.gen && h.slot >= g->first &&
		    h.slot < g->first + g->count &&
		    str_eq(r->b->routes[h.slot].prefix, prefix))
			return &r->b->routes[h.slot];
	}
}

/* True when a prefix of this length ends at a path segment, at the query or at
 * the end of the path. */
static bool is_boundary(struct str path, size_t len)
{
	if (len > path.len)
		return false;
	return len == path.len || path.ptr[len - 1] == '/' ||
	       path.ptr[len] == '/' || path.ptr[len] == '?';
}

static const struct bndl_route *find_in_group(const struct bndlr *r,
					      uint32_t group, struct str path)
{
	const struct group *g = group_at(r, group);
	uint32_t i;

	for (i = 0; i < g->length_count; i++) {
		size_t len =
			*(size_t *)tab_at(&r->lengths, g->first_length + i);
		const struct bndl_route *route;

		if (!is_boundary(path, len))
			continue;
		route = find_prefix(r, group, (struct str){path.ptr, len});
		if (route)
			return route;
	}
	return NULL;
}

const struct bndl_route *bndlr_find_route(const struct bndlr *r,
					  struct str host, struct str path)
{
	const struct bndl_route *route = NULL;
	uint32_t group;

	for (group = find_group(r, host); group != NO_GROUP && !route;
	     group = group_at(r, group)->next)
		route = find_in_group(r, group, path);
	if (!route && r->any_host_group != NO_GROUP)
		route = find_in_group(r, r->any_host_group, path);
	return route;
}

const struct bndl_service *bndlr_find_service(const struct bndlr *r,
					      struct str id)
{
	uint64_t hash;
	struct hnd h;

	for (hash = str_hash(id);; hash++) {
		h = idx_get(&r->service_by_id, hash);
		if (hash && !h.gen)
			return NULL;
		if (h.gen && str_eq(r->b->services[h.slot].id, id))
			return &r->b->services[h.slot];
	}
}
