#ifndef ADMIN_H
#define ADMIN_H

#include "core.h"
#include "drns.h"
#include "err.h"
#include "evq.h"
#include "sett.h"

/* HTTP server of the administration API and of /metrics, on CivetWeb. */
struct admin;

struct admin_opts {
	const struct sett *sett;
	struct evq *queue;
	/* Used only on the core thread. */
	struct core *core;
	/* Appends lines to the answer of /metrics; runs on the core thread. */
	void (*metrics)(void *ctx, struct strbuf *out);
	/* Begins the graceful shutdown of this VM; runs on the core thread. */
	void (*stop)(void *ctx);
	/* Checks signatures and content of a bundle: ERR_OK, ERR_INVALID or
	 * ERR_REFUSED. Runs on a thread of the API. */
	enum err (*check)(void *ctx, struct str signed_text, int64_t *version,
			  struct strbuf *errors);
	/* Signed text of the bundle in force; empty when there is none. Runs on
	 * the core thread. */
	struct str (*bundle)(void *ctx);
	struct drns *drains;
	/* Argument of the callbacks. */
	void *ctx;
};

enum err admin_start(struct admin **out, const struct admin_opts *opts);
/* Stops the server; jobs already in the event queue may still run. */
void admin_stop(struct admin *a);
/* Call it when neither the event queue nor the core will run again. */
void admin_free(struct admin *a);

#endif
