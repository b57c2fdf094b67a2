#include "wat.h"

#include "logs.h"

/* A reading for changes of the configuration is answered when there is one. */
#define CONFIG_WAIT_NS (25 * NS_PER_S)
/* Pause between two readings of the servers; half of the drain bound leaves
 * time for one failed reading. */
#define SERVERS_PERIOD_NS (1000 * NS_PER_MS)
/* First pause after a failure; it doubles. */
#define RETRY_MIN_NS (200 * NS_PER_MS)
#define RETRY_MAX_NS (1600 * NS_PER_MS)

/* One of the two kinds of rows that are read. */
struct watch {
	struct edge *e;
	const char *name;
	void (*read)(void *ctx, uint64_t after, int64_t wait_ns);
	void *ctx;
	uint64_t version;
	int64_t wait_ns;
	int64_t period_ns;
	int64_t retry_ns;
	bool failing;
};

static void read_now(void *ctx, int64_t now_ns)
{
	struct watch *w = ctx;

	w->read(w->ctx, w->version, w->version ? w->wait_ns : 0);
}

static void read_after(struct watch *w, int64_t pause_ns)
{
	tmr_subscribe(&w->e->ev.timers,
		      &(struct tmr_opts){
			      .due_ns = w->e->ev.now_ns + pause_ns,
			      .fire = read_now,
			      .ctx = w,
		      });
}

/* Between half and all of the pause, so that VMs do not call together. */
static int64_t spread(struct edge *e, int64_t pause_ns)
{
	return pause_ns / 2 +
	       (int64_t)(edge_random(e) % (uint64_t)pause_ns) / 2;
}

static void log_result(const struct watch *w, const char *change)
{
	logs_event(w->failing ? LOGS_WARNING : LOGS_INFO, "store",
		   (struct logs_field[]){
			   LOGS_STR("rows", str_from(w->name)),
			   LOGS_STR("change", str_from(change)),
			   LOGS_INT("version", w->version),
		   },
		   3);
}

static void done(struct watch *w, enum wat_result result, uint64_t version)
{
	if (result == WAT_FAILED) {
		if (!w->failing) {
			w->failing = true;
			log_result(w, "lost");
		}
		edge_set_store(w->e, false);
		read_after(w, spread(w->e, w->retry_ns));
		if (w->retry_ns < RETRY_MAX_NS)
			w->retry_ns *= 2;
		return;
	}
	edge_set_store(w->e, true);
	w->version = result == WAT_TOO_OLD ? 0 : version;
	w->retry_ns = RETRY_MIN_NS;
	if (w->failing) {
		w->failing = false;
		log_result(w, "regained");
	}
	if (result == WAT_TOO_OLD)
		log_result(w, "history gone, reading whole");
	read_after(w,
		   result == WAT_TOO_OLD || !w->period_ns
			   ? 0
			   : spread(w->e, 2 * w->period_ns) - w->period_ns / 2);
}

static struct watch config, servers;

void wat_start(struct edge *e, const struct wat_source *source)
{
	config = (struct watch){
		.e = e,
		.name = "config",
		.read = source->read_config,
		.ctx = source->ctx,
		.wait_ns = CONFIG_WAIT_NS,
		.retry_ns = RETRY_MIN_NS,
	};
	servers = (struct watch){
		.e = e,
		.name = "servers",
		.read = source->read_servers,
		.ctx = source->ctx,
		.period_ns = SERVERS_PERIOD_NS,
		.retry_ns = RETRY_MIN_NS,
	};
	read_now(&config, e->ev.now_ns);
	read_now(&servers, e->ev.now_ns);
}

void wat_config_done(struct edge *e, enum wat_result result, uint64_t version)
{
	(void)e;
	done(&config, result, version);
}

void wat_servers_done(struct edge *e, enum wat_result result, uint64_t version)
{
	if (result == WAT_OK)
		e->servers_known = true;
	done(&servers, result, version);
}
