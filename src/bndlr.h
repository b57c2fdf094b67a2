#ifndef BNDLR_H
#define BNDLR_H

#include "bndl.h"

/*
 * Index of the routes and services of a bundle. The routes of one host form a
 * group. Within a group, a path is looked up by each prefix length that occurs
 * in it, longest first.
 */
struct bndlr;

/* The arrays of the bundle must outlive the index and not change. */
struct bndlr *bndlr_build(const struct bndl *b);
void bndlr_free(struct bndlr *r);
const struct bndl_route *bndlr_find_route(const struct bndlr *r,
					  struct str host, struct str path);
const struct bndl_service *bndlr_find_service(const struct bndlr *r,
					      struct str id);

#endif
