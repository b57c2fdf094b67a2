#include "ent.h"

#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

#include "admin.h"
#include "bld.h"
#include "core.h"
#include "ctr.h"
#include "det.h"
#include "drns.h"
#include "exits.h"
#include "front.h"
#include "logs.h"
#include "mbr.h"
#include "peer.h"
#include "plat.h"
#include "plath.h"
#include "platm.h"
#include "prb.h"
#include "rol.h"

/* Time for gossip to tell all other VMs that this one is leaving. */
#define LEAVE_GOSSIP_NS (2 * NS_PER_S)

/*
 * The core thread owns core. Front threads read bundle under RCU; the core
 * thread replaces it and frees the old one after an RCU grace period.
 */
struct ent {
	struct sett sett;
	struct evq queue;
	struct core core;
	struct front *front;
	struct admin *admin;
	struct peer *peer;
	struct plat *plat;
	struct prb *prb;
	struct bld *loader;
	struct bndl *bundle;
	struct drns *drains;
	int signal_fd;
	/* Begin of the planned stop; 0 before it. */
	int64_t leave_ns;
	bool stopping;
};

static uint64_t random_number(void *ctx)
{
	uint64_t n;

	(void)ctx;
	randombytes_buf(&n, sizeof(n));
	return n;
}

static void log_decision(void *ctx, const struct core_decision *d)
{
	const struct ent *ent = ctx;
	char request[17];
	static const char digits[] = "0123456789abcdef";
	int i;

	if (!ent->sett.log_decisions || !logs_enabled(LOGS_INFO))
		return;
	for (i = 0; i < 16; i++)
		request[i] = digits[d->request >> (60 - 4 * i) & 15];
	request[16] = '\0';
	logs_event(LOGS_INFO, d->event,
		   (struct logs_field[]){
			   LOGS_STR("request", str_from(request)),
			   LOGS_STR("service", d->service),
			   LOGS_STR("backend", d->backend),
			   LOGS_STR("target_vm", d->vm),
			   LOGS_INT("candidates", d->candidates),
			   LOGS_STR("reason", str_from(d->reason)),
			   LOGS_INT("value", d->value),
		   },
		   7);
}

static void send_msg(void *ctx, struct str host, uint16_t port,
		     const struct msg *m)
{
	struct ent *ent = ctx;

	peer_send(ent->peer, host, port, m);
}

static void on_msg(void *ctx, const struct msg *m)
{
	struct ent *ent = ctx;

	core_on_msg(&ent->core, m, tmr_now());
}

static void call_plat(void *ctx, const struct core_plat_call *call)
{
	struct ent *ent = ctx;

	plat_call(ent->plat, call);
}

static void probe(void *ctx, struct hnd backend, struct str host, uint16_t port,
		  struct str path)
{
	struct ent *ent = ctx;

	prb_request(ent->prb, backend, host, port, path);
}

static void load_bundle(void *ctx, int64_t version, struct str signed_text);

static const struct core_ops ops = {
	.assign = front_assign,
	.refuse = front_refuse,
	.answer = front_answer,
	.cancel = front_cancel,
	.send = send_msg,
	.plat = call_plat,
	.probe = probe,
	.decision = log_decision,
	.bundle = load_bundle,
	.random = random_number,
};

static enum err route(void *ctx, struct str host, struct str path,
		      unsigned method, struct front_route *out)
{
	struct ent *ent = ctx;
	const struct bndl_service *service;
	const struct bndl_route *r = NULL;
	const struct bndl *b;

	rcu_read_lock();
	b = rcu_dereference(ent->bundle);
	if (b)
		r = bndl_find_route(b, host, path);
	if (r) {
		service = &b->services[r->service];
		out->service = service->key;
		out->deadline_ns = service->deadline_ns;
		out->idempotent = (service->idempotent & method) != 0;
	}
	rcu_read_unlock();
	if (!b)
		return ERR_REFUSED;
	return r ? ERR_OK : ERR_NOT_FOUND;
}

static void thread_start(void *ctx)
{
	(void)ctx;
	rcu_register_thread();
}

static void thread_stop(void *ctx)
{
	(void)ctx;
	rcu_unregister_thread();
}

static void log_lines(const char *event, struct str lines)
{
	while (lines.len) {
		struct str line = str_split(&lines, '\n');

		if (line.len)
			logs_msg(LOGS_ERROR, event, "%.*s", STR_FMT(line));
	}
}

static struct bld_keys bundle_keys(const struct ent *ent)
{
	return (struct bld_keys){ent->sett.bundle_keys,
				 ent->sett.bundle_key_count,
				 ent->sett.signatures_needed};
}

/* Replaces the active bundle; the core thread takes ownership of b. */
static void activate_bundle(struct ent *ent, struct bndl *b,
			    struct str signed_text)
{
	struct bndl *old = ent->bundle;

	core_on_bundle(&ent->core, b, tmr_now());
	rcu_assign_pointer(ent->bundle, b);
	rol_set_active(&ent->core, b->version, signed_text);
	if (old) {
		synchronize_rcu();
		bndl_free(old);
		free(old);
	}
	logs_msg(LOGS_INFO, "bundle", "version %lld is in force",
		 (long long)b->version);
}

/* Activates a loaded bundle unless it is invalid or not newer. */
static enum err apply_load_result(struct ent *ent, struct bld_result *r)
{
	if (!r->err && ent->bundle &&
	    r->bundle->version <= ent->bundle->version)
		r->err = ERR_CONFLICT;
	if (r->err) {
		ctr_add(CTR_BUNDLE_REFUSED, 1);
		log_lines("bundle", strbuf_view(&r->errors));
		return r->err;
	}
	activate_bundle(ent, r->bundle, strbuf_view(&r->text));
	r->bundle = NULL;
	return ERR_OK;
}

static void on_loaded(void *ctx, struct bld_result *result)
{
	struct ent *ent = ctx;

	if (apply_load_result(ent, result))
		rol_on_rejected(&ent->core, result->version);
}

static void load_bundle(void *ctx, int64_t version, struct str signed_text)
{
	struct ent *ent = ctx;

	bld_load(ent->loader, version, signed_text);
}

static enum err start_loader(struct ent *ent)
{
	struct bld_opts opts = {
		.queue = &ent->queue,
		.keys = bundle_keys(ent),
		.done = on_loaded,
		.ctx = ent,
	};

	return bld_open(&ent->loader, &opts);
}

/* Runs before callers are served, so it may block the core thread. */
static enum err load_bundle_file(struct ent *ent)
{
	struct str file = ent->sett.bundle_file;
	struct bld_keys keys = bundle_keys(ent);
	struct bld_result r = {0};

	if (!file.len)
		return ERR_OK;
	r.bundle = calloc(1, sizeof(*r.bundle));
	if (!r.bundle)
		return ERR_NOMEM;
	strbuf_init(&r.text);
	strbuf_init(&r.errors);
	r.err = cfg_read_file(file, &r.text);
	if (r.err)
		strbuf_addf(&r.errors, "%.*s: %s\n", STR_FMT(file),
			    err_name(r.err));
	else
		r.err = bld_parse(&keys, file, strbuf_view(&r.text), r.bundle,
				  &r.errors);
	apply_load_result(ent, &r);
	if (r.bundle)
		bndl_free(r.bundle);
	free(r.bundle);
	strbuf_free(&r.text);
	strbuf_free(&r.errors);
	return r.err;
}

static enum err check_bundle(void *ctx, struct str signed_text,
			     int64_t *version, struct strbuf *errors)
{
	struct bld_keys keys = bundle_keys(ctx);
	struct bndl b = {0};
	enum err e = bld_parse(&keys, STR("bundle"), signed_text, &b, errors);

	*version = b.version;
	bndl_free(&b);
	return e;
}

static struct str bundle_text(void *ctx)
{
	return rol_active_text(&((struct ent *)ctx)->core);
}

static void begin_planned_stop(void *ctx)
{
	struct ent *ent = ctx;

	if (ent->leave_ns)
		return;
	ent->leave_ns = tmr_now();
	logs_msg(LOGS_INFO, "stop", "planned stop has begun");
	core_on_leave(&ent->core, ent->leave_ns);
	front_leave(ent->front);
}

static void add_metrics(void *ctx, struct strbuf *out)
{
	struct ent *ent = ctx;

	peer_add_metrics(ent->peer, out);
	plat_add_metrics(ent->plat, out);
	rol_add_metrics(&ent->core, out);
}

static int poll_timeout_ms(const struct ent *ent)
{
	int64_t due = core_next_due(&ent->core);
	int64_t left;

	if (due == TMR_NEVER)
		return -1;
	left = due - tmr_now();
	if (left <= 0)
		return 0;
	left = (left + NS_PER_MS - 1) / NS_PER_MS;
	return left > 60000 ? 60000 : (int)left;
}

/*
 * Refuses new requests once no caller can still hold an address answer that
 * lists this VM, and ends the process when all requests are answered.
 */
static void advance_planned_stop(struct ent *ent)
{
	int64_t addresses_expired_ns =
		ent->leave_ns + LEAVE_GOSSIP_NS + ent->sett.address_ttl_ns;

	if (!ent->leave_ns || tmr_now() < addresses_expired_ns)
		return;
	if (!ent->core.refusing)
		core_on_refuse_new(&ent->core, tmr_now());
	if (!ent->core.reqs.len)
		ent->stopping = true;
}

/* A second signal ends the process without waiting. */
static void handle_signal(struct ent *ent)
{
	struct signalfd_siginfo info;

	if (read(ent->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (ent->leave_ns)
		ent->stopping = true;
	begin_planned_stop(ent);
}

/* Poll time-out while messages wait for a connection to a peer. */
#define PEER_FLUSH_MS 2
/* Poll time-out during a planned stop. */
#define STOP_CHECK_MS 100

static void loop(struct ent *ent)
{
	while (!ent->stopping) {
		struct pollfd fds[] = {
			{ent->queue.fd, POLLIN, 0},
			{ent->signal_fd, POLLIN, 0},
			{peer_fd(ent->peer), POLLIN, 0},
		};
		int timeout = poll_timeout_ms(ent);

		if (ent->leave_ns && (timeout < 0 || timeout > STOP_CHECK_MS))
			timeout = STOP_CHECK_MS;
		if (peer_flush(ent->peer) &&
		    (timeout < 0 || timeout > PEER_FLUSH_MS))
			timeout = PEER_FLUSH_MS;
		if (poll(fds, 3, timeout) < 0)
			continue;
		if (fds[1].revents)
			handle_signal(ent);
		evq_run(&ent->queue);
		peer_receive(ent->peer, on_msg, ent);
		core_tick(&ent->core, tmr_now());
		peer_receive(ent->peer, on_msg, ent);
		advance_planned_stop(ent);
	}
}

static int open_signals(void)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	pthread_sigmask(SIG_BLOCK, &set, NULL);
	signal(SIGPIPE, SIG_IGN);
	return signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
}

static const struct det_policy *detector_policy(int64_t detector)
{
	switch ((enum sett_detector)detector) {
	case SETT_DETECT_UNSHARED:
		return &det_unshared;
	case SETT_DETECT_CONSECUTIVE_ERRORS:
		return &det_consecutive_errors;
	case SETT_DETECT_NONE:
		return &det_none;
	case SETT_DETECT_SHARED:
		break;
	}
	return &det_shared;
}

static uint64_t wall_clock_us(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (uint64_t)ts.tv_sec * 1000000 + (uint64_t)ts.tv_nsec / 1000;
}

static enum err start_core(struct ent *ent)
{
	size_t i;
	struct core_opts opts = {
		.id = ent->sett.id,
		.incarnation = wall_clock_us(),
		.region = ent->sett.region,
		.zone = ent->sett.zone,
		.cell = ent->sett.cell,
		.caller_host = ent->sett.caller_advertise.host,
		.caller_port = (uint16_t)ent->sett.caller_advertise.port,
		.peer_host = ent->sett.peer_advertise.host,
		.peer_port = (uint16_t)ent->sett.peer_advertise.port,
		.ops = &ops,
		.ops_ctx = ent,
		.policy = detector_policy(ent->sett.detector),
		.standalone = !ent->sett.platform.host.len &&
			      !ent->sett.seed_count,
	};

	core_init(&ent->core, &opts, tmr_now());
	drns_open(&ent->drains, &ent->core);
	for (i = 0; i < ent->sett.seed_count; i++)
		mbr_add_seed(&ent->core, ent->sett.seeds[i].host,
			     (uint16_t)ent->sett.seeds[i].port);
	return load_bundle_file(ent);
}

static enum err start_front(struct ent *ent)
{
	struct front_opts opts = {
		.sett = &ent->sett,
		.queue = &ent->queue,
		.core = &ent->core,
		.route = route,
		.thread_start = thread_start,
		.thread_stop = thread_stop,
		.ctx = ent,
	};

	return front_start(&ent->front, &opts);
}

static enum err start_admin(struct ent *ent)
{
	struct admin_opts opts = {
		.sett = &ent->sett,
		.queue = &ent->queue,
		.core = &ent->core,
		.metrics = add_metrics,
		.stop = begin_planned_stop,
		.check = check_bundle,
		.bundle = bundle_text,
		.drains = ent->drains,
		.ctx = ent,
	};

	return admin_start(&ent->admin, &opts);
}

static enum err start_plat(struct ent *ent)
{
	struct plat_driver backend;
	enum err e;

	if (ent->sett.platform.host.len)
		e = plath_open(&backend, ent->sett.platform.host,
			       (uint16_t)ent->sett.platform.port, ent->sett.id);
	else
		e = platm_open(&backend, ent->sett.id);
	return e ? e : plat_open(&ent->plat, &backend, &ent->queue);
}

static int run(struct ent *ent)
{
	int code = EXITS_FAILURE;

	if (evq_init(&ent->queue))
		return code;
	ent->signal_fd = open_signals();
	if (ent->signal_fd < 0)
		goto out_queue;
	if (peer_open(&ent->peer, &ent->sett)) {
		logs_msg(LOGS_ERROR, "start", "cannot open the peer socket");
		goto out_signals;
	}
	if (start_plat(ent))
		goto out_peer;
	if (prb_open(&ent->prb, &ent->queue, &ent->core))
		goto out_plat;
	if (start_loader(ent))
		goto out_prb;
	if (start_core(ent))
		goto out_core;
	if (start_front(ent)) {
		logs_msg(LOGS_ERROR, "start", "cannot start the caller port");
		goto out_core;
	}
	if (start_admin(ent)) {
		logs_msg(LOGS_ERROR, "start",
			 "cannot start the administration port");
		goto out_front;
	}
	logs_msg(LOGS_INFO, "start", "serving callers");
	loop(ent);
	code = EXITS_OK;
	admin_stop(ent->admin);
out_front:
	front_stop(ent->front);
out_core:
	drns_close(ent->drains);
	core_free(&ent->core);
	admin_free(ent->admin);
	bld_close(ent->loader);
out_prb:
	prb_close(ent->prb);
out_plat:
	plat_close(ent->plat);
out_peer:
	peer_close(ent->peer);
out_signals:
	close(ent->signal_fd);
out_queue:
	evq_free(&ent->queue);
	logs_msg(LOGS_INFO, "stop", "entry VM stopped");
	return code;
}

int ent_run(struct str settings_file)
{
	struct strbuf errors;
	struct ent *ent = calloc(1, sizeof(*ent));
	struct logs_opts log_opts = {.level = LOGS_INFO};
	int code = EXITS_USAGE;

	if (!ent)
		return EXITS_FAILURE;
	strbuf_init(&errors);
	rcu_register_thread();
	logs_setup(&log_opts);
	if (sett_load(&ent->sett, settings_file, &errors)) {
		log_lines("settings", strbuf_view(&errors));
		goto out;
	}
	log_opts.level = (enum logs_level)ent->sett.log_level;
	log_opts.vm = ent->sett.id;
	logs_setup(&log_opts);
	code = run(ent);
out:
	if (ent->bundle) {
		bndl_free(ent->bundle);
		free(ent->bundle);
	}
	sett_free(&ent->sett);
	strbuf_free(&errors);
	rcu_unregister_thread();
	free(ent);
	return code;
}
