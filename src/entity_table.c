#include "entity_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TAB_MIN_CAP 16
#define NO_SLOT UINT32_MAX

static void *grow_array(void *old, size_t count, size_t size)
{
	void *p = realloc(old, count * size);

	if (!p)
		abort();
	return p;
}

static void grow(struct tab *t)
{
	t->cap = t->cap ? t->cap * 2 : TAB_MIN_CAP;
	t->rows = grow_array(t->rows, t->cap, t->row_size);
	t->row_slot = grow_array(t->row_slot, t->cap, sizeof(*t->row_slot));
	t->slots = grow_array(t->slots, t->cap, sizeof(*t->slots));
}

#ifdef TAB_MOVE_ROWS
/* Tables with more rows move their rows less often, so that the work per call
 * is bounded. */
#define ALWAYS_MOVED_ROWS 64

static void forbid_pointers_into(const struct tab *t, size_t bytes)
{
	uintptr_t begin = (uintptr_t)t->rows;
	uintptr_t end = begin + (size_t)t->cap * t->row_size;
	size_t at;
	uintptr_t word;

	for (at = 0; at + sizeof(word) <= bytes; at += sizeof(word)) {
		memcpy(&word, t->rows + at, sizeof(word));
		if (word < begin || word >= end)
			continue;
		fprintf(stderr,
			"a row of %zu bytes points into its table, at byte "
			"%zu\n",
			t->row_size, at % t->row_size);
		abort();
	}
}

/* Makes each later use of a row pointer an access to freed memory. */
static void move_rows(struct tab *t)
{
	size_t bytes = (size_t)t->len * t->row_size;
	char *rows;

	if (!t->len || t->len % (1 + t->len / ALWAYS_MOVED_ROWS))
		return;
	forbid_pointers_into(t, bytes);
	rows = grow_array(NULL, t->cap, t->row_size);
	memcpy(rows, t->rows, bytes);
	free(t->rows);
	t->rows = rows;
}
#else
static void move_rows(struct tab *t)
{
	(void)t;
}
#endif

void tab_init(struct tab *t, size_t row_size)
{
	memset(t, 0, sizeof(*t));
	t->row_size = row_size;
	t->free_slot = NO_SLOT;
}

void tab_free(struct tab *t)
{
	free(t->rows);
	free(t->row_slot);
	free(t->slots);
	tab_init(t, t->row_size);
}

/* Reuses a free slot, or adds one with generation 1. */
static uint32_t alloc_slot(struct tab *t)
{
	uint32_t slot = t->free_slot;

	if (slot != NO_SLOT) {
		t->free_slot = t->slots[slot].row;
		return slot;
	}
	slot = t->slot_count++;
	t->slots[slot].gen = 1;
	return slot;
}

struct hnd tab_add(struct tab *t, void **row)
{
	struct hnd h;
	char *p;

	move_rows(t);
	if (t->len == t->cap)
		grow(t);
	h.slot = alloc_slot(t);
	h.gen = t->slots[h.slot].gen;
	t->slots[h.slot].row = t->len;
	t->row_slot[t->len] = h.slot;
	p = t->rows + (size_t)t->len * t->row_size;
	memset(p, 0, t->row_size);
	t->len++;
	if (row)
		*row = p;
	return h;
}

static int is_live(const struct tab *t, struct hnd h)
{
	return h.gen && h.slot < t->slot_count && t->slots[h.slot].gen == h.gen;
}

void tab_del(struct tab *t, struct hnd h)
{
	uint32_t row, last;

	if (!is_live(t, h))
		return;
	row = t->slots[h.slot].row;
	last = t->len - 1;
	if (row != last) {
		memcpy(t->rows + (size_t)row * t->row_size,
		       t->rows + (size_t)last * t->row_size, t->row_size);
		t->row_slot[row] = t->row_slot[last];
		t->slots[t->row_slot[row]].row = row;
	}
	t->len--;
	move_rows(t);
	/* Generation 0 is reserved for HND_NONE, so the counter skips it. */
	t->slots[h.slot].gen++;
	if (!t->slots[h.slot].gen)
		t->slots[h.slot].gen = 1;
	t->slots[h.slot].row = t->free_slot;
	t->free_slot = h.slot;
}

void *tab_get(const struct tab *t, struct hnd h)
{
	if (!is_live(t, h))
		return NULL;
	return t->rows + (size_t)t->slots[h.slot].row * t->row_size;
}

void *tab_at(const struct tab *t, uint32_t index)
{
	if (index >= t->len)
		abort();
	return t->rows + (size_t)index * t->row_size;
}

struct hnd tab_handle(const struct tab *t, uint32_t index)
{
	struct hnd h;

	if (index >= t->len)
		abort();
	h.slot = t->row_slot[index];
	h.gen = t->slots[h.slot].gen;
	return h;
}

int hnd_eq(struct hnd a, struct hnd b)
{
	return a.slot == b.slot && a.gen == b.gen;
}
