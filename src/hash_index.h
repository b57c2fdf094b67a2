#ifndef HASH_INDEX_H
#define HASH_INDEX_H

#include "entity_table.h"

/*
 * Hash map from a 64-bit key to a row handle: open addressing with linear
 * probing, a capacity that is a power of two, and a load factor of at most
 * one half. Key 0 marks an empty slot: idx_put() aborts on it, idx_get() and
 * idx_del() treat it as absent.
 */
struct idx_slot {
	uint64_t key;
	struct hnd value;
};

struct idx {
	struct idx_slot *slots;
	uint32_t cap;
	uint32_t len;
};

void idx_init(struct idx *x);
void idx_free(struct idx *x);
/* Inserts the key, or replaces its value. */
void idx_put(struct idx *x, uint64_t key, struct hnd value);
/* Returns HND_NONE if the key is absent. */
struct hnd idx_get(const struct idx *x, uint64_t key);
/* Does nothing if the key is absent. */
void idx_del(struct idx *x, uint64_t key);

#endif
