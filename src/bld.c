#include "bld.h"

#include <malloc.h>
#include <pthread.h>
#include <stdlib.h>

/*
 * The core thread fills the waiting text; the thread moves it to result, which
 * the core thread reads from the event until it clears posted.
 */
struct bld {
	struct bld_opts opts;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t more;
	bool stopping;
	bool waiting;
	int64_t version;
	struct strbuf text;
	bool posted;
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
	if (bndl_verify(&s, keys->keys, keys->count, keys->needed)) {
		strbuf_addf(errors,
			    "%.*s: fewer than %lld accepted signatures\n",
			    STR_FMT(file), (long long)keys->needed);
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

static void parse(struct bld *b)
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
static bool take(struct bld *b)
{
	bool found;

	pthread_mutex_lock(&b->lock);
	while (!b->stopping && (!b->waiting || b->posted))
		pthread_cond_wait(&b->more, &b->lock);
	found = !b->stopping;
	if (found) {
		b->result.version = b->version;
		b->result.text = b->text;
		strbuf_init(&b->text);
		b->waiting = false;
		b->posted = true;
	}
	pthread_mutex_unlock(&b->lock);
	return found;
}

static void *work(void *arg)
{
	struct bld *b = arg;

	while (take(b)) {
		parse(b);
		/* The parser's tree is several times the size of the text, and
		 * the allocator would keep it. */
		malloc_trim(0);
		evq_post(b->opts.queue, &b->item);
	}
	return NULL;
}

static void finish(void *ctx)
{
	struct bld *b = ctx;

	b->opts.done(b->opts.ctx, &b->result);
	clear_result(&b->result);
	pthread_mutex_lock(&b->lock);
	b->posted = false;
	pthread_cond_signal(&b->more);
	pthread_mutex_unlock(&b->lock);
}

enum err bld_open(struct bld **out, const struct bld_opts *opts)
{
	struct bld *b = calloc(1, sizeof(*b));

	if (!b)
		return ERR_NOMEM;
	b->opts = *opts;
	b->item.run = finish;
	b->item.ctx = b;
	strbuf_init(&b->text);
	pthread_mutex_init(&b->lock, NULL);
	pthread_cond_init(&b->more, NULL);
	if (pthread_create(&b->thread, NULL, work, b)) {
		pthread_cond_destroy(&b->more);
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
	pthread_cond_signal(&b->more);
	pthread_mutex_unlock(&b->lock);
	pthread_join(b->thread, NULL);
	pthread_cond_destroy(&b->more);
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
		pthread_cond_signal(&b->more);
	}
	pthread_mutex_unlock(&b->lock);
}
