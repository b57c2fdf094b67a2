#ifndef PLATFORM_CLIENT_H
#define PLATFORM_CLIENT_H

#include "core.h"
#include "error_code.h"
#include "event_queue.h"

/*
 * Client of the platform, which is a table service, an object store and a list
 * of VMs. platform_client.c keeps a bounded queue of calls, executes them one
 * by one on a worker thread by the driver's call(), which may block, and
 * returns the replies to the core thread through the event queue.
 */
struct plat_driver {
	/* Fills reply; its views stay valid until the next call. */
	void (*call)(void *ctx, const struct core_plat_call *call,
		     struct core_plat_reply *reply);
	void (*close)(void *ctx);
	void *ctx;
};

struct plat;

struct plat_stats {
	uint64_t reads;
	uint64_t writes;
	uint64_t failures;
};

/* Takes over the driver on success; plat_close() closes it. */
enum err plat_open(struct plat **out, const struct plat_driver *driver,
		   struct evq *queue);
void plat_close(struct plat *p);
/* Queues a copy of the call; call->done gets the reply on the core thread. */
void plat_call(struct plat *p, const struct core_plat_call *call);
void plat_get_stats(const struct plat *p, struct plat_stats *out);
/* Appends the counters as Prometheus text. */
void plat_add_metrics(const struct plat *p, struct strbuf *out);

#endif
