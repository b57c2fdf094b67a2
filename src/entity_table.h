#ifndef ENTITY_TABLE_H
#define ENTITY_TABLE_H

#include <stddef.h>
#include <stdint.h>

/*
 * Dense entity table. Rows are stored contiguously so that a system can
 * iterate over them by index. Code that keeps a reference to a row stores a
 * handle: the generation in it tells a deleted row from a later one that
 * reuses its slot.
 *
 * Invariants: rows[0..len) are live, and slots[row_slot[i]].row == i for each
 * of them. Row pointers are valid until the next tab_add() or tab_del(), so a
 * row holds no address within the rows of its table, nor does anything else
 * between calls. With TAB_MOVE_ROWS, as in "make sanitize" and "make fuzz",
 * both functions move all rows to new memory and abort if a row holds such an
 * address.
 */
struct hnd {
	uint32_t slot;
	/* Starts at 1; 0 is no row. */
	uint32_t gen;
};

#define HND_NONE ((struct hnd){0, 0})

struct tab_slot {
	/* Index of the row; in a free slot, the next free slot. */
	uint32_t row;
	uint32_t gen;
};

struct tab {
	char *rows;
	/* Slot of each row. */
	uint32_t *row_slot;
	struct tab_slot *slots;
	size_t row_size;
	/* Number of rows. */
	uint32_t len;
	uint32_t cap;
	/* Slots used so far, free ones included. */
	uint32_t slot_count;
	/* Head of the list of free slots. */
	uint32_t free_slot;
};

void tab_init(struct tab *t, size_t row_size);
void tab_free(struct tab *t);
/* Appends a zeroed row; stores its address in *row unless row is NULL. */
struct hnd tab_add(struct tab *t, void **row);
/*
 * Moves the last row into the place of the deleted one. Does nothing for a
 * stale or empty handle.
 */
void tab_del(struct tab *t, struct hnd h);
/* Returns NULL for a stale or empty handle. */
void *tab_get(const struct tab *t, struct hnd h);
/* Returns a row by its index; aborts unless index is below t->len. */
void *tab_at(const struct tab *t, uint32_t index);
/* Returns the handle of the row at an index; aborts like tab_at(). */
struct hnd tab_handle(const struct tab *t, uint32_t index);
int hnd_eq(struct hnd a, struct hnd b);

#endif
