#include "entry_vm.h"

#include <poll.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>
#include <urcu.h>

#include "admin_server.h"
#include "bundle_loader.h"
#include "core.h"
#include "metrics.h"
#include "outlier_detection.h"
#include "operator_drains.h"
#include "exit_codes.h"
#include "frontend.h"
#include "logs.h"
#include "membership.h"
#include "peer_transport.h"
#include "platform_client.h"
#include "platform_http.h"
#include "platform_memory.h"
#include "health_probe.h"
#include "rollout.h"

/* Time for gossip to tell all other VMs that this one is leaving. */
#define LEAVE_GOSSIP_NS (2 * NS_PER_S)

/*
 * An entry VM. The core thread owns core. Worker threads of front read bundle
 * under RCU; the core thread replaces it and frees the old one after an RCU
 * grace period.
 */
struct entry {
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
	/* Start of the planned stop; 0 before it. */
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
	const struct entry *entry = ctx;
	char request[17];
	static const char digits[] = "0123456789abcdef";
	int i;

	if (!entry->sett.log_decisions || !logs_enabled(LOGS_INFO))
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
	struct entry *entry = ctx;

	peer_send(entry->peer, host, port, m);
}

static void on_msg(void *ctx, const struct msg *m)
{
	struct entry *entry = ctx;

	core_on_msg(&entry->core, m, tmr_now());
}

static void call_plat(void *ctx, const struct core_plat_call *call)
{
	struct entry *entry = ctx;

	plat_call(entry->plat, call);
}

static void probe(void *ctx, struct hnd backend, struct str host, uint16_t port,
		  struct str path)
{
	struct entry *entry = ctx;

	prb_request(entry->prb, backend, host, port, path);
}

static void load_bundle(void *ctx, int64_t version, struct str signed_text);

static const struct core_ops ops = {
	.assign = front_assign,
	.refuse = front_refuse,
	.respond = front_respond,
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
	struct entry *entry = ctx;
	const struct bndl_service *service;
	const struct bndl_route *r = NULL;
	const struct bndl *b;

	rcu_read_lock();
	b = rcu_dereference(entry->bundle);
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

static struct bld_keys bundle_keys(const struct entry *entry)
{
	return (struct bld_keys){entry->sett.bundle_keys,
				 entry->sett.bundle_key_count,
				 entry->sett.signatures_needed};
}

/* Replaces the active bundle; the core thread takes ownership of b. */
static void activate_bundle(struct entry *entry, struct bndl *b,
			    struct str signed_text)
{
	struct bndl *old = entry->bundle;

	core_on_bundle(&entry->core, b, tmr_now());
	rcu_assign_pointer(entry->bundle, b);
	rol_set_active(&entry->core, b->version, signed_text);
	if (old) {
		synchronize_rcu();
		bndl_free(old);
		free(old);
	}
	logs_msg(LOGS_INFO, "bundle", "version %lld is in force",
		 (long long)b->version);
}

/* Activates a loaded bundle unless it is invalid or not newer. */
static enum err apply_load_result(struct entry *entry, struct bld_result *r)
{
	if (!r->err && entry->bundle &&
	    r->bundle->version <= entry->bundle->version)
		r->err = ERR_CONFLICT;
	if (r->err) {
		ctr_add(CTR_BUNDLE_REFUSED, 1);
		log_lines("bundle", strbuf_view(&r->errors));
		return r->err;
	}
	activate_bundle(entry, r->bundle, strbuf_view(&r->text));
	r->bundle = NULL;
	return ERR_OK;
}

static void on_loaded(void *ctx, struct bld_result *result)
{
	struct entry *entry = ctx;

	if (apply_load_result(entry, result))
		rol_on_rejected(&entry->core, result->version);
}

static void load_bundle(void *ctx, int64_t version, struct str signed_text)
{
	struct entry *entry = ctx;

	bld_load(entry->loader, version, signed_text);
}

static enum err start_loader(struct entry *entry)
{
	struct bld_opts opts = {
		.queue = &entry->queue,
		.keys = bundle_keys(entry),
		.done = on_loaded,
		.ctx = entry,
	};

	return bld_open(&entry->loader, &opts);
}

/* Runs before callers are served, so it may block the core thread. */
static enum err load_bundle_file(struct entry *entry)
{
	struct str file = entry->sett.bundle_file;
	struct bld_keys keys = bundle_keys(entry);
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
		strbuf_addf(&r.errors, "%.*s: cannot read the file: %s\n",
			    STR_FMT(file), err_name(r.err));
	else
		r.err = bld_parse(&keys, file, strbuf_view(&r.text), r.bundle,
				  &r.errors);
	apply_load_result(entry, &r);
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
	return rol_active_text(&((struct entry *)ctx)->core);
}

static void begin_planned_stop(void *ctx)
{
	struct entry *entry = ctx;

	if (entry->leave_ns)
		return;
	entry->leave_ns = tmr_now();
	logs_msg(LOGS_INFO, "stop", "planned stop has begun");
	core_on_leave(&entry->core, entry->leave_ns);
	front_leave(entry->front);
}

static void add_metrics(void *ctx, struct strbuf *out)
{
	struct entry *entry = ctx;

	peer_add_metrics(entry->peer, out);
	plat_add_metrics(entry->plat, out);
	rol_add_metrics(&entry->core, out);
}

static int poll_timeout_ms(const struct entry *entry)
{
	int64_t due = core_next_due(&entry->core);
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
 * Refuses new requests once all address responses that list this VM have
 * expired, and ends the process when no requests are left.
 */
static void advance_planned_stop(struct entry *entry)
{
	int64_t addresses_expired_ns =
		entry->leave_ns + LEAVE_GOSSIP_NS + entry->sett.address_ttl_ns;

	if (!entry->leave_ns || tmr_now() < addresses_expired_ns)
		return;
	if (!entry->core.refusing)
		core_on_refuse_new(&entry->core, tmr_now());
	if (!entry->core.reqs.len)
		entry->stopping = true;
}

/* A second signal ends the process without waiting. */
static void handle_signal(struct entry *entry)
{
	struct signalfd_siginfo info;

	if (read(entry->signal_fd, &info, sizeof(info)) != sizeof(info))
		return;
	if (entry->leave_ns)
		entry->stopping = true;
	begin_planned_stop(entry);
}

/* Poll timeout while messages are queued for a new connection to a peer. */
#define PEER_FLUSH_MS 2
/* Poll timeout during a planned stop. */
#define STOP_CHECK_MS 100

static void loop(struct entry *entry)
{
	while (!entry->stopping) {
		struct pollfd fds[] = {
			{entry->queue.fd, POLLIN, 0},
			{entry->signal_fd, POLLIN, 0},
			{peer_fd(entry->peer), POLLIN, 0},
		};
		int timeout = poll_timeout_ms(entry);

		if (entry->leave_ns && (timeout < 0 || timeout > STOP_CHECK_MS))
			timeout = STOP_CHECK_MS;
		if (peer_flush(entry->peer) &&
		    (timeout < 0 || timeout > PEER_FLUSH_MS))
			timeout = PEER_FLUSH_MS;
		if (poll(fds, 3, timeout) < 0)
			continue;
		if (fds[1].revents)
			handle_signal(entry);
		evq_run(&entry->queue);
		peer_receive(entry->peer, on_msg, entry);
		core_tick(&entry->core, tmr_now());
		peer_receive(entry->peer, on_msg, entry);
		advance_planned_stop(entry);
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

static enum err start_core(struct entry *entry)
{
	size_t i;
	struct core_opts opts = {
		.id = entry->sett.id,
		.incarnation = wall_clock_us(),
		.region = entry->sett.region,
		.zone = entry->sett.zone,
		.cell = entry->sett.cell,
		.caller_host = entry->sett.caller_advertise.host,
		.caller_port = (uint16_t)entry->sett.caller_advertise.port,
		.peer_host = entry->sett.peer_advertise.host,
		.peer_port = (uint16_t)entry->sett.peer_advertise.port,
		.ops = &ops,
		.ops_ctx = entry,
		.policy = detector_policy(entry->sett.detector),
		.standalone = !entry->sett.platform.host.len &&
			      !entry->sett.seed_count,
	};

	core_init(&entry->core, &opts, tmr_now());
	drns_open(&entry->drains, &entry->core);
	for (i = 0; i < entry->sett.seed_count; i++)
		mbr_add_seed(&entry->core, entry->sett.seeds[i].host,
			     (uint16_t)entry->sett.seeds[i].port);
	return load_bundle_file(entry);
}

static enum err start_front(struct entry *entry)
{
	struct front_opts opts = {
		.sett = &entry->sett,
		.queue = &entry->queue,
		.core = &entry->core,
		.route = route,
		.thread_start = thread_start,
		.thread_stop = thread_stop,
		.ctx = entry,
	};

	return front_start(&entry->front, &opts);
}

static enum err start_admin(struct entry *entry)
{
	struct admin_opts opts = {
		.sett = &entry->sett,
		.queue = &entry->queue,
		.core = &entry->core,
		.metrics = add_metrics,
		.stop = begin_planned_stop,
		.check = check_bundle,
		.bundle = bundle_text,
		.drains = entry->drains,
		.ctx = entry,
	};

	return admin_start(&entry->admin, &opts);
}

static enum err start_plat(struct entry *entry)
{
	struct plat_driver driver;
	enum err e;

	if (entry->sett.platform.host.len)
		e = plat_http_open(&driver, entry->sett.platform.host,
				   (uint16_t)entry->sett.platform.port,
				   entry->sett.id);
	else
		e = plat_memory_open(&driver, entry->sett.id);
	return e ? e : plat_open(&entry->plat, &driver, &entry->queue);
}

static int run(struct entry *entry)
{
	int code = EXITS_FAILURE;

	if (evq_init(&entry->queue))
		return code;
	entry->signal_fd = open_signals();
	if (entry->signal_fd < 0)
		goto out_queue;
	if (peer_open(&entry->peer, &entry->sett)) {
		logs_msg(LOGS_ERROR, "start",
			 "cannot open the peer socket with the address and "
			 "keys of the settings");
		goto out_signals;
	}
	if (start_plat(entry))
		goto out_peer;
	if (prb_open(&entry->prb, &entry->queue, &entry->core))
		goto out_plat;
	if (start_loader(entry))
		goto out_prb;
	if (start_core(entry))
		goto out_core;
	if (start_front(entry)) {
		logs_msg(LOGS_ERROR, "start",
			 "cannot listen on the caller address or start the "
			 "worker threads");
		goto out_core;
	}
	if (start_admin(entry)) {
		logs_msg(LOGS_ERROR, "start",
			 "cannot start the HTTP server of the administration "
			 "API");
		goto out_front;
	}
	logs_msg(LOGS_INFO, "start", "serving callers");
	loop(entry);
	code = EXITS_OK;
	admin_stop(entry->admin);
out_front:
	front_stop(entry->front);
out_core:
	drns_close(entry->drains);
	core_free(&entry->core);
	admin_free(entry->admin);
	bld_close(entry->loader);
out_prb:
	prb_close(entry->prb);
out_plat:
	plat_close(entry->plat);
out_peer:
	peer_close(entry->peer);
out_signals:
	close(entry->signal_fd);
out_queue:
	evq_free(&entry->queue);
	logs_msg(LOGS_INFO, "stop", "entry VM stopped");
	return code;
}

int entry_run(struct str settings_file)
{
	struct strbuf errors;
	struct entry *entry = calloc(1, sizeof(*entry));
	struct logs_opts log_opts = {.level = LOGS_INFO};
	int code = EXITS_USAGE;

	if (!entry)
		return EXITS_FAILURE;
	strbuf_init(&errors);
	rcu_register_thread();
	logs_setup(&log_opts);
	if (sett_load(&entry->sett, settings_file, &errors)) {
		log_lines("settings", strbuf_view(&errors));
		goto out;
	}
	log_opts.level = (enum logs_level)entry->sett.log_level;
	log_opts.vm = entry->sett.id;
	logs_setup(&log_opts);
	code = run(entry);
out:
	if (entry->bundle) {
		bndl_free(entry->bundle);
		free(entry->bundle);
	}
	sett_free(&entry->sett);
	strbuf_free(&errors);
	rcu_unregister_thread();
	free(entry);
	return code;
}
