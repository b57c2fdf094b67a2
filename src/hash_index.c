#include "hash_index.h"

#include <stdlib.h>
#include <string.h>

#define IDX_MIN_CAP 64

void idx_init(struct idx *x)
{
	memset(x, 0, sizeof(*x));
}

void idx_free(struct idx *x)
{
	free(x->slots);
	idx_init(x);
}

/* Index of the first slot of the key's probe sequence (Fibonacci hashing). */
static uint32_t home_index(const struct idx *x, uint64_t key)
{
	return (uint32_t)((key * UINT64_C(0x9e3779b97f4a7c15)) >> 32) &
	       (x->cap - 1);
}

/* Returns the slot of the key, or the empty slot where it would be inserted. */
static struct idx_slot *find_slot(const struct idx *x, uint64_t key)
{
	uint32_t i = home_index(x, key);

	while (x->slots[i].key && x->slots[i].key != key)
		i = (i + 1) & (x->cap - 1);
	return &x->slots[i];
}

static void grow(struct idx *x)
{
	struct idx old = *x;
	uint32_t i;

	x->cap = old.cap ? old.cap * 2 : IDX_MIN_CAP;
	x->slots = calloc(x->cap, sizeof(*x->slots));
	if (!x->slots)
		abort();
	for (i = 0; i < old.cap; i++)
		if (old.slots[i].key)
			*find_slot(x, old.slots[i].key) = old.slots[i];
	free(old.slots);
}

void idx_put(struct idx *x, uint64_t key, struct hnd value)
{
	struct idx_slot *slot;

	if (!key)
		abort();
	if (2 * (x->len + 1) > x->cap)
		grow(x);
	slot = find_slot(x, key);
	if (!slot->key)
		x->len++;
	slot->key = key;
	slot->value = value;
}

struct hnd idx_get(const struct idx *x, uint64_t key)
{
	if (!x->cap || !key)
		return HND_NONE;
	return find_slot(x, key)->value;
}

/*
 * Deletes without tombstones: later entries of the cluster whose probe
 * sequence passes the freed slot are moved back into it.
 */
void idx_del(struct idx *x, uint64_t key)
{
	struct idx_slot *slot;
	uint32_t hole, i;

	if (!x->cap || !key)
		return;
	slot = find_slot(x, key);
	if (!slot->key)
		return;
	hole = (uint32_t)(slot - x->slots);
	i = hole;
	for (;;) {
		uint32_t home;

		i = (i + 1) & (x->cap - 1);
		if (!x->slots[i].key)
			break;
		home = home_index(x, x->slots[i].key);
		if (((i - home) & (x->cap - 1)) < ((i - hole) & (x->cap - 1)))
			continue;
		x->slots[hole] = x->slots[i];
		hole = i;
	}
	memset(&x->slots[hole], 0, sizeof(x->slots[hole]));
	x->len--;
}
