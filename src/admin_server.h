#ifndef ADMIN_SERVER_H
#define ADMIN_SERVER_H

#include "core.h"
#include "operator_drains.h"
#include "error_code.h"
#include "event_queue.h"
#include "entry_settings.h"

/*
 * HTTP server for the administration API and GET /metrics, built on CivetWeb.
 * CivetWeb's threads read the requests; what needs the core runs as a struct
 * job on the core thread.
 */
struct admin;

struct admin_opts {
	const struct sett *sett;
	struct evq *queue;
	/* Used on the core thread only. */
	struct core *core;
	/* Appends to the response of GET /metrics; runs on the core thread. */
	void (*metrics)(void *ctx, struct strbuf *out);
	/* Begins the planned stop of this VM; runs on the core thread. */
	void (*stop)(void *ctx);
	/*
	 * Checks the signatures and the content of a bundle and sets
	 * *version; errors gets a line for each error. ERR_REFUSED if
	 * signatures are missing, ERR_INVALID if the content is not valid. Runs
	 * on a thread of the API.
	 */
	enum err (*check)(void *ctx, struct str signed_text, int64_t *version,
			  struct strbuf *errors);
	/*
	 * Returns the signed text of the active bundle, empty if there is none.
	 * Runs on the core thread.
	 */
	struct str (*bundle)(void *ctx);
	struct drns *drains;
	/* Argument of the callbacks. */
	void *ctx;
};

enum err admin_start(struct admin **out, const struct admin_opts *opts);
/* Stops the server; jobs that are in the event queue may still run. */
void admin_stop(struct admin *a);
/* To be called when neither the event queue nor the core runs any more. */
void admin_free(struct admin *a);

#endif
