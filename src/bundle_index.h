#ifndef BUNDLE_INDEX_H
#define BUNDLE_INDEX_H

#include "bundle.h"

/*
 * Index of the routes and services of a bundle. The routes of one host form a
 * group. Within a group, a path is looked up by each prefix length that occurs
 * in it, longest first. Hosts that differ in case only have separate groups,
 * which are searched one after the other; routes without a host come last.
 */
struct bndl_index;

/* The arrays of the bundle must outlive the index and not change. */
struct bndl_index *bndl_index_build(const struct bndl *b);
void bndl_index_free(struct bndl_index *index);
const struct bndl_route *bndl_index_find_route(const struct bndl_index *index,
					       struct str host,
					       struct str path);
const struct bndl_service *
bndl_index_find_service(const struct bndl_index *index, struct str id);

#endif
