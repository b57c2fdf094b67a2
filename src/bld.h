#ifndef BLD_H
#define BLD_H

#include "bndl.h"
#include "evq.h"

/*
 * Loader of received bundles: one thread checks signatures and content, since
 * this takes longer than a heartbeat at the design scale. It takes one text at
 * a time and keeps at most one more, that with the highest version.
 */
struct bld;

/* Whose signatures count. */
struct bld_keys {
	const struct sig_public_key *keys;
	size_t count;
	int64_t needed;
};

struct bld_result {
	/* Version that the sender named. */
	int64_t version;
	enum err err;
	/* Set when err is ERR_OK; the receiver takes it or leaves it. */
	struct bndl *bundle;
	struct strbuf text;
	/* A line for each fault. */
	struct strbuf errors;
};

struct bld_opts {
	struct evq *queue;
	struct bld_keys keys;
	/* Runs on the core thread; the result is freed when it returns. */
	void (*done)(void *ctx, struct bld_result *result);
	void *ctx;
};

/*
 * Checks and parses a signed text: ERR_INVALID, or ERR_REFUSED when accepted
 * signatures are missing. bndl_free() is due in every case.
 */
enum err bld_parse(const struct bld_keys *keys, struct str file,
		   struct str text, struct bndl *b, struct strbuf *errors);

enum err bld_open(struct bld **out, const struct bld_opts *opts);
void bld_close(struct bld *b);
/* Copies the text; it is dropped while a newer one waits. */
void bld_load(struct bld *b, int64_t version, struct str text);

#endif
