#include "bundle_loader.h"

#include <malloc.h>
#include <pthread.h>
#include <stdlib.h>

/*
 * The core thread sets the waiting text. The loader thread moves it to result,
 * sets result_busy and posts the item to the queue. The core thread then reads
 * result and clears result_busy.
 */
struct bld {
	struct bld_opts opts;
	pthread_t thread;
	pthread_mutex_t lock;
	/* Signalled when the loader thread may have something to do. */
	pthread_cond_t wake;
	bool stopping;
	/* Text that waits, if any. */
	bool waiting;
	int64_t version;
	struct strbuf text;
	bool result_busy;
	struct bld_result result;
	struct evq_item item;
};

enum err bld_parse(const struct bld_keys *keys, struct str file,
		   struct str text, struct bndl *b, struct strbuf *errors)
{
	struct bndl_signed s;

	if (bndl_decode_signed(&s, text)) {
		strbuf_addf(errors, "%.*s: not a signed bundle\n",
			    STR_FMT(file));
		return ERR_INVALID;
	}
	if (bndl_verify(&s, keys->keys, keys->count, keys->threshold)) {
		strbuf_addf(errors,
			    "%.*s: fewer than %lld accepted signatures\n",
			    STR_FMT(file), (long long)keys->threshold);
		return ERR_REFUSED;
	}
	return bndl_parse(b, file, s.body, errors);
}

static void free_bundle(struct bndl *b)
{
	if (!b)
		return;
	bndl_free(b);
	free(b);
}

static void clear_result(struct bld_result *r)
{
	free_bundle(r->bundle);
	strbuf_free(&r->text);
	strbuf_free(&r->errors);
	*r = (struct bld_result){0};
}

static void parse_result(struct bld *b)
{
	struct bld_result *r = &b->result;

	strbuf_init(&r->errors);
	r->bundle = calloc(1, sizeof(*r->bundle));
	if (!r->bundle) {
		r->err = ERR_NOMEM;
		return;
	}
	r->err = bld_parse(&b->opts.keys, STR("received bundle"),
			   strbuf_view(&r->text), r->bundle, &r->errors);
	if (!r->err)
		return;
	free_bundle(r->bundle);
	r->bundle = NULL;
}

/* Waits for a text and moves it to the result; false when stopping. */
static bool take_text(struct bld *b)
{
	bool found;

	pthread_mutex_lock(&b->lock);
	while (!b->stopping && (!b->waiting || b->result_busy))
		pthread_cond_wait(&b->wake, &b->lock);
	found = !b->stopping;
	if (found) {
		b->result.version = b->version;
		b->result.text = b->text;
		strbuf_init(&b->text);
		b->waiting = false;
		b->result_busy = true;
	}
	pthread_mutex_unlock(&b->lock);
	return found;
}

static void *loader_thread(void *arg)
{
	struct bld *b = arg;

	while (take_text(b)) {
		parse_result(b);
		/*
		 * The JSON tree takes several times the size of the text, which
		 * the allocator would not return to the system by itself.
		 */
		malloc_trim(0);
		evq_post(b->opts.queue, &b->item);
	}
	return NULL;
}

static void deliver_result(void *ctx)
{
	struct bld *b = ctx;

	b->opts.done(b->opts.ctx, &b->result);
	clear_result(&b->result);
	pthread_mutex_lock(&b->lock);
	b->result_busy = false;
	pthread_cond_signal(&b->wake);
	pthread_mutex_unlock(&b->lock);
}

enum err bld_open(struct bld **out, const struct bld_opts *opts)
{
	struct bld *b = calloc(1, sizeof(*b));

	if (!b)
		return ERR_NOMEM;
	b->opts = *opts;
	b->item.run = deliver_result;
	b->item.ctx = b;
	strbuf_init(&b->text);
	pthread_mutex_init(&b->lock, NULL);
	pthread_cond_init(&b->wake, NULL);
	if (pthread_create(&b->thread, NULL, loader_thread, b)) {
		pthread_cond_destroy(&b->wake);
		pthread_mutex_destroy(&b->lock);
		free(b);
		return ERR_NOMEM;
	}
	*out = b;
	return ERR_OK;
}

void bld_close(struct bld *b)
{
	if (!b)
		return;
	pthread_mutex_lock(&b->lock);
	b->stopping = true;
	pthread_cond_signal(&b->wake);
	pthread_mutex_unlock(&b->lock);
	pthread_join(b->thread, NULL);
	pthread_cond_destroy(&b->wake);
	pthread_mutex_destroy(&b->lock);
	clear_result(&b->result);
	strbuf_free(&b->text);
	free(b);
}

void bld_load(struct bld *b, int64_t version, struct str text)
{
	pthread_mutex_lock(&b->lock);
	if (!b->waiting || version > b->version) {
		b->waiting = true;
		b->version = version;
		strbuf_set(&b->text, text);
		pthread_cond_signal(&b->wake);
	}
	pthread_mutex_unlock(&b->lock);
}
