#ifndef BUNDLE_LOADER_H
#define BUNDLE_LOADER_H

#include "bundle.h"
#include "event_queue.h"

/*
 * Loader of received bundles. A thread of its own checks signatures and
 * content, since this takes longer than a heartbeat interval at the design
 * scale. It processes one text at a time and keeps at most one more waiting,
 * the one with the highest version.
 */
struct bld;

/* Operators' public keys, and how many of them must have signed a text. */
struct bld_keys {
	const struct sig_public_key *keys;
	size_t count;
	int64_t threshold;
};

struct bld_result {
	/* Version given to bld_load(), which the sender of the text named. */
	int64_t version;
	enum err err;
	/*
	 * Set when err is ERR_OK. The receiver may take it and set NULL here.
	 */
	struct bndl *bundle;
	struct strbuf text;
	/* One line for each error. */
	struct strbuf errors;
};

struct bld_opts {
	struct evq *queue;
	struct bld_keys keys;
	/* Runs on the core thread; the result is freed after it returns. */
	void (*done)(void *ctx, struct bld_result *result);
	void *ctx;
};

/*
 * Checks and parses a signed text. ERR_REFUSED means that there are not enough
 * accepted signatures, ERR_INVALID any other error. Either way b has to be
 * freed by bndl_free().
 */
enum err bld_parse(const struct bld_keys *keys, struct str file,
		   struct str text, struct bndl *b, struct strbuf *errors);

enum err bld_open(struct bld **out, const struct bld_opts *opts);
void bld_close(struct bld *b);
/* Copies the text; it is discarded if a newer one is already waiting. */
void bld_load(struct bld *b, int64_t version, struct str text);

#endif
