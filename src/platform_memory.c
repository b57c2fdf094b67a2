#include "platform_memory.h"

#include <stdlib.h>

/* A row of the table, or an object. */
struct plat_memory_row {
	struct strbuf key;
	struct strbuf value;
	uint64_t version;
};

struct plat_memory {
	struct tab rows;
	struct tab objects;
	struct idx row_by_key;
	struct idx object_by_key;
	/* The only VM of the list, and its state. */
	char vm_id[64];
	bool leaving;
	/* Memory of the last reply to CORE_PLAT_LIST. */
	struct core_vm_listed vm;
};

/*
 * Returns the row of a key, or NULL. A key whose hash is in use by another key
 * has the next free hash; *hash receives the hash of the row, or the one under
 * which it can be inserted.
 */
static struct plat_memory_row *find_row(const struct tab *t,
					const struct idx *x, struct str key,
					uint64_t *hash)
{
	struct plat_memory_row *row;

	*hash = str_hash(key);
	for (;; ++*hash) {
		if (!*hash)
			continue;
		row = tab_get(t, idx_get(x, *hash));
		if (!row || str_eq(strbuf_view(&row->key), key))
			return row;
	}
}

static void put_row(struct tab *t, struct idx *x, struct str key,
		    struct str value, uint64_t *version)
{
	uint64_t hash;
	struct plat_memory_row *row = find_row(t, x, key, &hash);
	void *p;

	if (!row) {
		idx_put(x, hash, tab_add(t, &p));
		row = p;
		strbuf_init(&row->key);
		strbuf_init(&row->value);
		strbuf_set(&row->key, key);
	}
	strbuf_set(&row->value, value);
	*version = ++row->version;
}

static void get_row(struct tab *t, struct idx *x, struct str key,
		    struct core_plat_reply *reply)
{
	uint64_t hash;
	struct plat_memory_row *row = find_row(t, x, key, &hash);

	reply->err = row ? ERR_OK : ERR_NOT_FOUND;
	if (!row)
		return;
	reply->value = strbuf_view(&row->value);
	reply->version = row->version;
}

/* Writes a row if its version is c->expect; 0 stands for no row. */
static void cas(struct plat_memory *m, const struct core_plat_call *c,
		struct core_plat_reply *reply)
{
	uint64_t hash;
	struct plat_memory_row *row =
		find_row(&m->rows, &m->row_by_key, c->key, &hash);

	reply->err = ERR_OK;
	if (c->expect == (row ? row->version : 0)) {
		put_row(&m->rows, &m->row_by_key, c->key, c->value,
			&reply->version);
		return;
	}
	reply->err = ERR_CONFLICT;
	if (!row)
		return;
	reply->value = strbuf_view(&row->value);
	reply->version = row->version;
}

static void call(void *ctx, const struct core_plat_call *c,
		 struct core_plat_reply *reply)
{
	struct plat_memory *m = ctx;

	switch (c->op) {
	case CORE_PLAT_GET:
		get_row(&m->rows, &m->row_by_key, c->key, reply);
		break;
	case CORE_PLAT_CAS:
		cas(m, c, reply);
		break;
	case CORE_PLAT_GET_OBJECT:
		get_row(&m->objects, &m->object_by_key, c->key, reply);
		break;
	case CORE_PLAT_PUT_OBJECT:
		put_row(&m->objects, &m->object_by_key, c->key, c->value,
			&reply->version);
		break;
	case CORE_PLAT_LIST:
		m->vm.id = str_from(m->vm_id);
		m->vm.leaving = m->leaving;
		reply->vms = &m->vm;
		reply->vm_count = 1;
		break;
	case CORE_PLAT_PUT_VM:
		m->leaving = str_eq(c->value, STR("leaving"));
		break;
	}
}

static void free_rows(struct tab *t)
{
	uint32_t i;

	for (i = 0; i < t->len; i++) {
		struct plat_memory_row *row = tab_at(t, i);

		strbuf_free(&row->key);
		strbuf_free(&row->value);
	}
	tab_free(t);
}

static void close_driver(void *ctx)
{
	struct plat_memory *m = ctx;

	free_rows(&m->rows);
	free_rows(&m->objects);
	idx_free(&m->row_by_key);
	idx_free(&m->object_by_key);
	free(m);
}

enum err plat_memory_open(struct plat_driver *out, struct str vm_id)
{
	struct plat_memory *m = calloc(1, sizeof(*m));

	if (!m)
		return ERR_NOMEM;
	tab_init(&m->rows, sizeof(struct plat_memory_row));
	tab_init(&m->objects, sizeof(struct plat_memory_row));
	idx_init(&m->row_by_key);
	idx_init(&m->object_by_key);
	str_copy(m->vm_id, sizeof(m->vm_id), vm_id);
	out->call = call;
	out->close = close_driver;
	out->ctx = m;
	return ERR_OK;
}
