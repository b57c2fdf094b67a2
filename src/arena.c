#include "arena.h"

#include <stdlib.h>
#include <string.h>

#define BLOCK_BYTES 65536
#define ALIGN_BYTES 16

struct arn_block {
	struct arn_block *next;
	size_t used;
	size_t cap;
	_Alignas(ALIGN_BYTES) char bytes[];
};

void arn_init(struct arn *a)
{
	a->head = NULL;
	a->total = 0;
}

void arn_free(struct arn *a)
{
	struct arn_block *b = a->head;

	while (b) {
		struct arn_block *next = b->next;

		free(b);
		b = next;
	}
	arn_init(a);
}

static struct arn_block *add_block(struct arn *a, size_t size)
{
	size_t cap = size > BLOCK_BYTES ? size : BLOCK_BYTES;
	struct arn_block *b = calloc(1, sizeof(*b) + cap);

	if (!b)
		abort();
	b->cap = cap;
	b->next = a->head;
	a->head = b;
	a->total += sizeof(*b) + cap;
	return b;
}

void *arn_alloc(struct arn *a, size_t size)
{
	struct arn_block *b = a->head;
	void *p;

	size = (size + ALIGN_BYTES - 1) & ~(size_t)(ALIGN_BYTES - 1);
	if (!b || b->cap - b->used < size)
		b = add_block(a, size);
	p = b->bytes + b->used;
	b->used += size;
	return p;
}

struct str arn_strdup(struct arn *a, struct str s)
{
	char *p = arn_alloc(a, s.len + 1);
	struct str copy = {p, s.len};

	if (s.len)
		memcpy(p, s.ptr, s.len);
	return copy;
}
