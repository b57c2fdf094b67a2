#ifndef OPERATOR_DRAINS_H
#define OPERATOR_DRAINS_H

#include "core.h"
#include "error_code.h"

/*
 * Drains that operators ask for. They are stored in one row of the platform,
 * "drains", so that VMs that start later learn of them. Every VM polls the row
 * and marks backend servers as draining, or ends their drain, accordingly. The
 * poll interval grows with the fleet, from 1 s up to 20 VMs to 4 s from 80 VMs.
 *
 * A change takes effect once the row is written, so there are no changes while
 * the platform is unreachable. Runs on the core thread.
 */
struct drns;

struct drns_change {
	struct str service;
	struct str backend;
	/* End the drain instead of starting it. */
	bool undo;
	/*
	 * Called once with ERR_OK, ERR_CONFLICT (every attempt lost to a
	 * concurrent change), ERR_REFUSED (this VM is still making another
	 * change), ERR_UNREACHABLE (nothing was written) or ERR_UNKNOWN (a
	 * write may have taken effect).
	 */
	void (*done)(void *ctx, enum err e);
	void *ctx;
};

void drns_open(struct drns **out, struct core *c);
void drns_close(struct drns *d);
void drns_change(struct drns *d, const struct drns_change *change);

/*
 * The value of the row holds for each drain the ids of the service and the
 * backend server, each as "<length>:<bytes>". Splits off the next pair; false
 * at the end or on a malformed value.
 */
bool drns_next_pair(struct str *rest, struct str *service, struct str *backend);
void drns_add_pair(struct strbuf *out, struct str service, struct str backend);

#endif
