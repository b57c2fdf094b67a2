#ifndef HEALTH_PROBE_H
#define HEALTH_PROBE_H

#include "core.h"
#include "event_queue.h"

/*
 * Health probes of backend servers: one thread sends the GET requests that the
 * core asks for and posts their results to the core's event queue. At most one
 * probe of a backend server runs at a time; further ones are dropped.
 */
struct prb;

enum err prb_open(struct prb **out, struct evq *queue, struct core *core);
void prb_close(struct prb *p);
void prb_request(struct prb *p, struct hnd backend, struct str host,
		 uint16_t port, struct str path);

#endif
