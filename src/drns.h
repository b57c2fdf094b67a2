#ifndef DRNS_H
#define DRNS_H

#include "core.h"
#include "err.h"

/*
 * Drains by operators. They are kept in one platform row, "drains", so that a
 * VM that starts later learns them. Every VM polls the row each
 * max(1 s, members / 20 s), and marks or clears backend servers accordingly.
 * A change takes effect when its write has; without the platform there is
 * none. Runs on the core thread.
 */
struct drns;

struct drns_change {
	struct str service;
	struct str backend;
	bool undo;
	/*
	 * ERR_OK, ERR_CONFLICT (other changes got in each time), ERR_REFUSED
	 * (another change of this VM runs), ERR_UNREACHABLE or ERR_UNKNOWN.
	 */
	void (*done)(void *ctx, enum err e);
	void *ctx;
};

void drns_open(struct drns **out, struct core *c);
void drns_close(struct drns *d);
void drns_change(struct drns *d, const struct drns_change *change);

/*
 * Row value: for each drain the service and the backend id, each as
 * "<length>:<bytes>". Splits off the next pair; false at the end or on a
 * malformed value.
 */
bool drns_next_pair(struct str *rest, struct str *service, struct str *backend);
void drns_add_pair(struct strbuf *out, struct str service, struct str backend);

#endif
