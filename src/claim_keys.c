#include "claim_keys.h"

#include <stdlib.h>
#include <string.h>

#include "claim_value.h"

#define FIFO_MIN_CAP 64

void clmk_init(struct clmk *t)
{
	memset(t, 0, sizeof(*t));
	tab_init(&t->rows, sizeof(struct clmk_row));
	idx_init(&t->by_hash);
}

static void free_row(struct clmk_row *k)
{
	strbuf_free(&k->row_key);
	strbuf_free(&k->key);
	strbuf_free(&k->body);
	strbuf_free(&k->reply);
}

void clmk_free(struct clmk *t)
{
	uint32_t i;

	for (i = 0; i < t->rows.len; i++)
		free_row(tab_at(&t->rows, i));
	tab_free(&t->rows);
	idx_free(&t->by_hash);
	clmk_fifo_free(&t->by_age);
}

/*
 * Hash under which the key is found or is to be inserted. Keys with the same
 * hash are resolved by linear probing: the next free hash is taken. A deleted
 * key would hide the one behind it, so clmk_del() closes the gap.
 */
static uint64_t probe_hash(const struct clmk *t, struct str row_key)
{
	uint64_t hash = str_hash(row_key);

	for (;; hash++) {
		const struct clmk_row *k;

		if (!hash)
			continue;
		k = tab_get(&t->rows, idx_get(&t->by_hash, hash));
		if (!k || str_eq(strbuf_view(&k->row_key), row_key))
			return hash;
	}
}

struct hnd clmk_find(const struct clmk *t, struct str service, struct str key)
{
	struct strbuf row_key;
	struct hnd h;

	strbuf_init(&row_key);
	clmv_add_row_key(&row_key, service, key);
	h = idx_get(&t->by_hash, probe_hash(t, strbuf_view(&row_key)));
	strbuf_free(&row_key);
	return h;
}

struct hnd clmk_add(struct clmk *t, struct str service, struct str key,
		    int64_t now_ns)
{
	struct clmk_row *k;
	struct hnd h;
	void *row;

	h = tab_add(&t->rows, &row);
	k = row;
	clmv_add_row_key(&k->row_key, service, key);
	strbuf_add(&k->key, key);
	k->hash = probe_hash(t, strbuf_view(&k->row_key));
	idx_put(&t->by_hash, k->hash, h);
	clmk_fifo_push(&t->by_age, h, now_ns);
	return h;
}

void clmk_del(struct clmk *t, struct hnd h)
{
	struct clmk_row *k = tab_get(&t->rows, h);
	struct hnd next;
	uint64_t hash;

	if (!k)
		return;
	clmk_set_pinned_here(t, k, false);
	clmk_set_body(t, k, STR_NONE);
	hash = k->hash;
	free_row(k);
	idx_del(&t->by_hash, hash);
	tab_del(&t->rows, h);
	/* Closes the gap if this key had displaced the next one. */
	next = idx_get(&t->by_hash, hash + 1);
	k = tab_get(&t->rows, next);
	if (k && str_hash(strbuf_view(&k->row_key)) != k->hash) {
		idx_del(&t->by_hash, k->hash);
		k->hash = probe_hash(t, strbuf_view(&k->row_key));
		idx_put(&t->by_hash, k->hash, next);
	}
}

void clmk_set_pinned_here(struct clmk *t, struct clmk_row *k, bool pinned)
{
	t->pinned_count += (uint32_t)pinned - (uint32_t)k->pinned_here;
	k->pinned_here = pinned;
}

void clmk_set_body(struct clmk *t, struct clmk_row *k, struct str body)
{
	t->body_bytes += body.len - k->body.len;
	strbuf_set(&k->body, body);
}

void clmk_fifo_free(struct clmk_fifo *f)
{
	free(f->entries);
	memset(f, 0, sizeof(*f));
}

static void grow(struct clmk_fifo *f)
{
	uint32_t cap = f->cap ? 2 * f->cap : FIFO_MIN_CAP;
	struct clmk_fifo_entry *entries = calloc(cap, sizeof(*entries));
	uint32_t i;

	if (!entries)
		abort();
	for (i = 0; i < f->len; i++)
		entries[i] = f->entries[(f->first + i) % f->cap];
	free(f->entries);
	f->entries = entries;
	f->cap = cap;
	f->first = 0;
}

void clmk_fifo_push(struct clmk_fifo *f, struct hnd key, int64_t at_ns)
{
	struct clmk_fifo_entry entry = {key, at_ns};

	if (f->len == f->cap)
		grow(f);
	f->entries[(f->first + f->len++) % f->cap] = entry;
}

const struct clmk_fifo_entry *clmk_fifo_first(const struct clmk_fifo *f)
{
	return f->len ? &f->entries[f->first] : NULL;
}

void clmk_fifo_pop(struct clmk_fifo *f)
{
	f->first = (f->first + 1) % f->cap;
	f->len--;
}

uint64_t clmk_handle_to_tag(struct hnd h)
{
	return (uint64_t)h.slot << 32 | h.gen;
}

struct hnd clmk_tag_to_handle(uint64_t tag)
{
	return (struct hnd){(uint32_t)(tag >> 32), (uint32_t)tag};
}
