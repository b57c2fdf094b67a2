#include "bundle_index.h"

#include <stdlib.h>
#include <string.h>

#include "hash_index.h"

#define MAX_HOST_BYTES 253
#define NO_GROUP UINT32_MAX
/* 2^64 divided by the golden ratio. */
#define HASH_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

/* The routes of one host in one spelling, which are adjacent in the bundle. */
struct group {
	uint32_t first;
	uint32_t count;
	/* Its distinct prefix lengths, descending, in bndl_index.lengths. */
	uint32_t first_length;
	uint32_t length_count;
	/* Next group whose host differs from this one in case only. */
	uint32_t next;
};

struct bndl_index {
	const struct bndl *b;
	struct tab groups;
	struct tab lengths;
	/*
	 * From a hash to a row number, stored as handle {number, 1}. A key
	 * whose hash is in use is stored under the next free hash.
	 */
	struct idx group_by_host;
	struct idx route_by_prefix;
	struct idx service_by_id;
	/* The routes without a host; NO_GROUP if there are none. */
	uint32_t any_host_group;
};

/* Hashes the host in lower case, as hosts are compared without case. */
static uint64_t host_hash(struct str host)
{
	char lower[MAX_HOST_BYTES];
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

/* Inserts number under the first free hash, counting from hash. */
static void insert(struct idx *x, uint64_t hash, uint32_t number)
{
	while (!hash || idx_get(x, hash).gen)
		hash++;
	idx_put(x, hash, (struct hnd){number, 1});
}

static struct group *group_at(const struct bndl_index *index, uint32_t i)
{
	return tab_at(&index->groups, i);
}

static struct str group_host(const struct bndl_index *index, uint32_t i)
{
	return index->b->routes[group_at(index, i)->first].host;
}

/* Returns the first group whose host is equal, ignoring case. */
static uint32_t find_group(const struct bndl_index *index, struct str host)
{
	uint64_t hash;
	struct hnd h;

	if (!host.len || host.len > MAX_HOST_BYTES)
		return NO_GROUP;
	for (hash = host_hash(host);; hash++) {
		h = idx_get(&index->group_by_host, hash);
		if (hash && !h.gen)
			return NO_GROUP;
		if (h.gen && str_eq_nocase(group_host(index, h.slot), host))
			return h.slot;
	}
}

/* Routes are sorted by host, so groups are added in the order of hosts. */
static void add_group(struct bndl_index *index, uint32_t first, uint32_t count)
{
	struct str host = index->b->routes[first].host;
	uint32_t number = index->groups.len;
	uint32_t other = find_group(index, host);
	struct group *g;
	void *row;
	uint32_t i;

	tab_add(&index->groups, &row);
	g = row;
	*g = (struct group){first, count, index->lengths.len, 0, NO_GROUP};
	for (i = first; i < first + count; i++) {
		size_t len = index->b->routes[i].prefix.len;

		insert(&index->route_by_prefix,
		       prefix_hash(number, index->b->routes[i].prefix), i);
		if (i > first && len == index->b->routes[i - 1].prefix.len)
			continue;
		tab_add(&index->lengths, &row);
		*(size_t *)row = len;
		g->length_count++;
	}
	if (!host.len) {
		index->any_host_group = number;
	} else if (other == NO_GROUP) {
		insert(&index->group_by_host, host_hash(host), number);
	} else {
		while (group_at(index, other)->next != NO_GROUP)
			other = group_at(index, other)->next;
		group_at(index, other)->next = number;
	}
}

struct bndl_index *bndl_index_build(const struct bndl *b)
{
	struct bndl_index *index = calloc(1, sizeof(*index));
	uint32_t i, first = 0;

	if (!index)
		abort();
	index->b = b;
	index->any_host_group = NO_GROUP;
	tab_init(&index->groups, sizeof(struct group));
	tab_init(&index->lengths, sizeof(size_t));
	for (i = 1; i <= b->route_count; i++) {
		if (i < b->route_count &&
		    str_eq(b->routes[i].host, b->routes[first].host))
			continue;
		add_group(index, first, i - first);
		first = i;
	}
	for (i = 0; i < b->service_count; i++)
		insert(&index->service_by_id, str_hash(b->services[i].id), i);
	return index;
}

void bndl_index_free(struct bndl_index *index)
{
	if (!index)
		return;
	tab_free(&index->groups);
	tab_free(&index->lengths);
	idx_free(&index->group_by_host);
	idx_free(&index->route_by_prefix);
	idx_free(&index->service_by_id);
	free(index);
}

static const struct bndl_route *find_prefix(const struct bndl_index *index,
					    uint32_t group, struct str prefix)
{
	const struct group *g = group_at(index, group);
	uint64_t hash;
	struct hnd h;

	for (hash = prefix_hash(group, prefix);; hash++) {
		h = idx_get(&index->route_by_prefix, hash);
		if (hash && !h.gen)
			return NULL;
		if (h.gen && h.slot >= g->first &&
		    h.slot < g->first + g->count &&
		    str_eq(index->b->routes[h.slot].prefix, prefix))
			return &index->b->routes[h.slot];
	}
}

/*
 * Returns true if a prefix of this length ends at a path segment, at the query
 * or at the end of the path.
 */
static bool is_boundary(struct str path, size_t len)
{
	if (len > path.len)
		return false;
	return len == path.len || path.ptr[len - 1] == '/' ||
	       path.ptr[len] == '/' || path.ptr[len] == '?';
}

static const struct bndl_route *find_in_group(const struct bndl_index *index,
					      uint32_t group, struct str path)
{
	const struct group *g = group_at(index, group);
	uint32_t i;

	for (i = 0; i < g->length_count; i++) {
		size_t len =
			*(size_t *)tab_at(&index->lengths, g->first_length + i);
		const struct bndl_route *route;

		if (!is_boundary(path, len))
			continue;
		route = find_prefix(index, group, (struct str){path.ptr, len});
		if (route)
			return route;
	}
	return NULL;
}

const struct bndl_route *bndl_index_find_route(const struct bndl_index *index,
					       struct str host, struct str path)
{
	const struct bndl_route *route = NULL;
	uint32_t group;

	for (group = find_group(index, host); group != NO_GROUP && !route;
	     group = group_at(index, group)->next)
		route = find_in_group(index, group, path);
	if (!route && index->any_host_group != NO_GROUP)
		route = find_in_group(index, index->any_host_group, path);
	return route;
}

const struct bndl_service *
bndl_index_find_service(const struct bndl_index *index, struct str id)
{
	uint64_t hash;
	struct hnd h;

	for (hash = str_hash(id);; hash++) {
		h = idx_get(&index->service_by_id, hash);
		if (hash && !h.gen)
			return NULL;
		if (h.gen && str_eq(index->b->services[h.slot].id, id))
			return &index->b->services[h.slot];
	}
}
