#ifndef ARENA_H
#define ARENA_H

#include "counted_string.h"

/*
 * Arena allocator: allocations live until arn_free(). Blocks never move, so
 * pointers into an arena stay valid as it grows. Running out of memory aborts
 * the process.
 */
struct arn_block;

struct arn {
	struct arn_block *head;
	/* Bytes allocated for blocks, headers included. */
	size_t total;
};

void arn_init(struct arn *a);
void arn_free(struct arn *a);
/* Returns zeroed memory, aligned for any type. */
void *arn_alloc(struct arn *a, size_t size);
/* Copies s into the arena and appends a NUL that len does not count. */
struct str arn_strdup(struct arn *a, struct str s);

#endif
