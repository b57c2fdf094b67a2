#ifndef ARN_H
#define ARN_H

#include "str.h"

/*
 * Arena: allocations that live until arn_free(). Blocks never move, so views
 * into an arena stay valid as it grows.
 */
struct arn_block;

struct arn {
	struct arn_block *head;
	size_t total;
};

void arn_init(struct arn *a);
void arn_free(struct arn *a);
/* Zeroed memory, aligned for any type. */
void *arn_alloc(struct arn *a, size_t size);
/* Copies s and keeps a NUL after it. */
struct str arn_strdup(struct arn *a, struct str s);

#endif
