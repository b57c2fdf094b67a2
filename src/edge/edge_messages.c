#include "edge_messages.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "edge_retry_budget.h"
#include "logs.h"
#include "edge_membership.h"
#include "edge_messages_internal.h"
#include "backend_server.h"

#define MESSAGE_FORMAT 5
/* Fields of a message: the common ones (format, kind, sender, newest era of the
 * store that the sender has heard, era and version of its configuration), and
 * those of its kind. */
#define COMMON_FIELDS 6
#define MAX_FIELDS 14
/* Fields per service in a report of the retry budget. */
#define BUDGET_COUNT_FIELDS 6
/* Largest age in a message, one year; older ones are cut to it. */
#define MAX_AGE_MS (INT64_C(366) * 24 * 3600 * 1000)
/* Datagrams read per event; a bound, so that callers' requests are not
 * delayed. */
#define READ_BATCH 64
/* VMs of each other region that a summary or an ejection is sent to. */
#define OTHER_REGION_TARGETS 2
#define GOSSIP_PERIOD_NS NS_PER_S
/* Period while this VM knows no other. */
#define ISOLATED_GOSSIP_PERIOD_NS (250 * NS_PER_MS)

void emsg_begin(struct edge *e, struct emsg_datagram *d, enum emsg_kind kind,
		uint32_t fields)
{
	mpk_writer_init(&d->out, d->bytes, sizeof(d->bytes));
	mpk_put_array(&d->out, fields + COMMON_FIELDS);
	mpk_put_uint(&d->out, MESSAGE_FORMAT);
	mpk_put_uint(&d->out, kind);
	mpk_put_uint(&d->out, e->self);
	mpk_put_uint(&d->out, e->sync.era);
	mpk_put_uint(&d->out, edge_conf_in_force(e).era);
	mpk_put_uint(&d->out, edge_conf_in_force(e).version);
}

void emsg_send(struct edge *e, const struct emsg_datagram *d,
	       const struct sockaddr_in *to)
{
	size_t len = sizeof(d->bytes) - d->out.left;

	if (d->out.overflow)
		logs_msg(LOGS_ERROR, "news",
			 "message to another VM exceeds %d bytes; not sent",
			 EMSG_MAX_BYTES);
	if (d->out.overflow || e->message_fd < 0)
		return;
	/* A datagram that the kernel rejects is treated as a lost one. */
	if (sendto(e->message_fd, d->bytes, len, MSG_DONTWAIT, (const void *)to,
		   sizeof(*to)) < 0)
		logs_msg(LOGS_DEBUG, "news",
			 "cannot send a message to another VM: %s",
			 strerror(errno));
}

void emsg_send_to_peers(struct edge *e, const struct emsg_datagram *d)
{
	uint32_t i;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->key != e->self && vm->region == e->region &&
		    vm_is_alive(e, vm))
			emsg_send(e, d, &vm->message_addr);
	}
}

/* Counts a message to a region; true if that many were sent to it before. */
static bool region_quota_used(uint64_t *regions, uint32_t *sent,
			      uint32_t *count, uint64_t region,
			      uint32_t targets)
{
	uint32_t i;

	for (i = 0; i < *count; i++)
		if (regions[i] == region)
			return ++sent[i] > targets;
	if (*count == ESET_MAX_ZONES)
		return true;
	regions[*count] = region;
	sent[(*count)++] = 1;
	return false;
}

void emsg_send_to_other_regions(struct edge *e, const struct emsg_datagram *d,
				uint32_t targets)
{
	uint64_t regions[ESET_MAX_ZONES];
	uint32_t sent[ESET_MAX_ZONES], count = 0;
	uint32_t i, len = e->vms.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, (start + i) % len);

		if (vm->region != e->region && vm_is_alive(e, vm) &&
		    !region_quota_used(regions, sent, &count, vm->region,
				       targets))
			emsg_send(e, d, &vm->message_addr);
	}
}

void emsg_send_outcome(struct edge *e, const struct srv_row *s,
		       enum hlth_outcome outcome)
{
	struct emsg_datagram d;

	emsg_begin(e, &d, EMSG_OUTCOME, 2);
	mpk_put_uint(&d.out, s->key);
	mpk_put_uint(&d.out, outcome);
	emsg_send_to_peers(e, &d);
}

static void put_ejection(struct edge *e, struct emsg_datagram *d,
			 uint64_t server)
{
	emsg_begin(e, d, EMSG_EJECTION, 1);
	mpk_put_uint(&d->out, server);
}

void emsg_send_ejection(struct edge *e, const struct srv_row *s)
{
	struct emsg_datagram d;

	put_ejection(e, &d, s->key);
	emsg_send_to_other_regions(e, &d, OTHER_REGION_TARGETS);
}

static void on_ejection(struct edge *e, struct mpk_reader *in, uint64_t sender)
{
	uint64_t key = mpk_get_uint(in, 1, UINT64_MAX);
	const struct vm_row *from = vm_find(e, sender);
	struct srv_row *s = srv_find(e, key, NULL);
	struct emsg_datagram d;

	if (in->failed || !s || !from || s->region == e->region)
		return;
	s->ejected_remotely = true;
	if (from->region == e->region)
		return;
	put_ejection(e, &d, key);
	emsg_send_to_peers(e, &d);
}

static void put_leaving(struct edge *e, struct emsg_datagram *d,
			const struct srv_row *s)
{
	emsg_begin(e, d, EMSG_LEAVING, 2);
	mpk_put_uint(&d->out, s->key);
	mpk_put_int(&d->out, s->leaving_start_ms);
}

void emsg_send_leaving(struct edge *e, const struct srv_row *s)
{
	struct emsg_datagram d;

	put_leaving(e, &d, s);
	emsg_send_to_peers(e, &d);
	emsg_send_to_other_regions(e, &d, OTHER_REGION_TARGETS);
}

static void on_leaving(struct edge *e, struct mpk_reader *in, uint64_t sender)
{
	uint64_t key = mpk_get_uint(in, 1, UINT64_MAX);
	int64_t start_ms = (int64_t)mpk_get_uint(in, 0, INT64_MAX);
	const struct vm_row *from = vm_find(e, sender);
	struct srv_row *s = srv_find(e, key, NULL);
	struct emsg_datagram d;

	if (in->failed || !s || !srv_set_leaving(e, s, start_ms))
		return;
	if (!from || from->region == e->region)
		return;
	put_leaving(e, &d, s);
	emsg_send_to_peers(e, &d);
}

void emsg_send_trial(struct edge *e, const struct srv_row *s)
{
	struct emsg_datagram d;

	emsg_begin(e, &d, EMSG_TRIAL, 1);
	mpk_put_uint(&d.out, s->key);
	emsg_send_to_peers(e, &d);
}

void emsg_put_age(struct mpk_writer *out, int64_t age_ns)
{
	int64_t age_ms = age_ns / NS_PER_MS;

	mpk_put_int(out, age_ms < MAX_AGE_MS ? age_ms : MAX_AGE_MS);
}

static void put_availability(struct mpk_writer *out,
			     const struct avail_report *r)
{
	mpk_put_uint(out, r->since_age_ns >= 0);
	emsg_put_age(out, r->since_age_ns < 0 ? 0 : r->since_age_ns);
	emsg_put_age(out, r->served_age_ns);
	mpk_put_uint(out, r->after_outage);
}

int64_t emsg_get_age(struct mpk_reader *in)
{
	return (int64_t)mpk_get_uint(in, 0, MAX_AGE_MS) * NS_PER_MS;
}

static void get_availability(struct mpk_reader *in, struct avail_report *r)
{
	bool known = mpk_get_uint(in, 0, 1) > 0;

	r->since_age_ns = emsg_get_age(in);
	if (!known)
		r->since_age_ns = -1;
	r->served_age_ns = emsg_get_age(in);
	r->after_outage = mpk_get_uint(in, 0, 1) > 0;
}

bool emsg_send_notice(struct edge *e, const struct sync_notice *n,
		      const struct vm_row *to)
{
	struct emsg_datagram d;
	uint32_t i;

	emsg_begin(e, &d, EMSG_NOTICE, 7);
	mpk_put_uint(&d.out, n->from_version);
	mpk_put_uint(&d.out, n->to_version);
	put_availability(&d.out, &n->store);
	mpk_put_array(&d.out, n->change_count);
	for (i = 0; i < n->change_count; i++)
		codec_put_change(&d.out, &n->changes[i]);
	if (d.out.overflow)
		return false;
	if (to)
		emsg_send(e, &d, &to->message_addr);
	else
		emsg_send_to_peers(e, &d);
	return true;
}

static void on_notice(struct edge *e, struct mpk_reader *in, uint64_t sender,
		      uint64_t era)
{
	struct vm_row *from = vm_find(e, sender);
	struct sync_notice n = {.change_count = 0};
	uint32_t i;

	n.era = era;
	n.from_version = mpk_get_uint(in, 0, UINT64_MAX);
	n.to_version = mpk_get_uint(in, 0, UINT64_MAX);
	get_availability(in, &n.store);
	n.change_count = mpk_get_array_len(in, SYNC_MAX_NOTICE_CHANGES);
	for (i = 0; i < n.change_count; i++)
		codec_get_change(in, &n.changes[i]);
	if (!from || in->failed)
		return;
	n.config = from->config;
	sync_on_notice(e, from, &n);
}

static void put_budget(struct mpk_writer *out, const struct bud_report *r)
{
	uint32_t i;

	mpk_put_uint(out, r->whole_window);
	mpk_put_array(out, r->count * BUDGET_COUNT_FIELDS);
	for (i = 0; i < r->count; i++) {
		mpk_put_uint(out, r->counts[i].service);
		mpk_put_uint(out, r->counts[i].requests);
		mpk_put_uint(out, r->counts[i].retries);
		mpk_put_uint(out, r->counts[i].recent_requests);
		mpk_put_uint(out, r->counts[i].recent_failures);
		mpk_put_uint(out, r->counts[i].lost_retries);
	}
}

static void get_budget(struct mpk_reader *in, struct bud_report *r)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->whole_window = mpk_get_uint(in, 0, 1) > 0;
	r->count =
		mpk_get_array_len(in, BUD_MAX_SERVICES * BUDGET_COUNT_FIELDS) /
		BUDGET_COUNT_FIELDS;
	for (i = 0; i < r->count; i++) {
		r->counts[i].service = mpk_get_uint(in, 0, UINT64_MAX);
		r->counts[i].requests =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r->counts[i].retries =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r->counts[i].recent_requests =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r->counts[i].recent_failures =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r->counts[i].lost_retries =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	}
}

static void send_to_zone(struct edge *e, const struct emsg_datagram *d)
{
	uint32_t i;

	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		if (vm->key != e->self && vm->zone == e->zone &&
		    vm_is_alive(e, vm))
			emsg_send(e, d, &vm->message_addr);
	}
}

void emsg_send_load(struct edge *e, const struct load_report *r,
		    const struct bud_report *budget, bool zone_only)
{
	struct emsg_datagram d;
	uint32_t i;

	emsg_begin(e, &d, EMSG_LOAD, 4);
	mpk_put_uint(&d.out, e->incarnation);
	put_budget(&d.out, budget);
	mpk_put_array(&d.out, r->count * 2);
	for (i = 0; i < r->count; i++) {
		mpk_put_uint(&d.out, r->servers[i]);
		mpk_put_uint(&d.out, r->in_flight[i]);
	}
	if (zone_only)
		send_to_zone(e, &d);
	else
		emsg_send_to_peers(e, &d);
}

static void on_load(struct edge *e, struct mpk_reader *in, uint64_t sender)
{
	struct vm_row *from = vm_find(e, sender);
	struct bud_report budget;
	struct load_report r;
	uint64_t incarnation = mpk_get_uint(in, 0, UINT64_MAX);
	uint32_t i;

	get_budget(in, &budget);
	memset(&r, 0, sizeof(r));
	r.count = mpk_get_array_len(in, LOAD_MAX_ENTRIES * 2) / 2;
	for (i = 0; i < r.count; i++) {
		r.servers[i] = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r.in_flight[i] = (uint32_t)mpk_get_uint(in, 0, UINT16_MAX);
	}
	if (!from || in->failed)
		return;
	load_on_report(e, from, &r);
	if (budget.count)
		bud_on_report(e, from, incarnation, &budget);
}

static void put_summary(struct edge *e, struct emsg_datagram *d,
			const struct load_summary *s)
{
	uint32_t i;

	emsg_begin(e, d, EMSG_SUMMARY, 3);
	mpk_put_uint(&d->out, s->region);
	mpk_put_array(&d->out, s->service_count * 3);
	for (i = 0; i < s->service_count; i++) {
		mpk_put_uint(&d->out, s->services[i].service);
		mpk_put_uint(&d->out, s->services[i].in_flight);
		mpk_put_uint(&d->out, s->services[i].slots);
	}
	mpk_put_array(&d->out, s->ejected_count);
	for (i = 0; i < s->ejected_count; i++)
		mpk_put_uint(&d->out, s->ejected[i]);
}

void emsg_send_summary(struct edge *e, const struct load_summary *s)
{
	struct emsg_datagram d;

	put_summary(e, &d, s);
	emsg_send_to_other_regions(e, &d, OTHER_REGION_TARGETS);
}

static void on_summary(struct edge *e, struct mpk_reader *in, uint64_t sender)
{
	const struct vm_row *from = vm_find(e, sender);
	struct load_summary s = {.region = 0};
	struct emsg_datagram d;
	uint32_t i;

	s.region = mpk_get_uint(in, 0, UINT64_MAX);
	s.service_count = mpk_get_array_len(in, LOAD_MAX_ENTRIES * 3) / 3;
	for (i = 0; i < s.service_count; i++) {
		s.services[i].service = mpk_get_uint(in, 0, UINT64_MAX);
		s.services[i].in_flight =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		s.services[i].slots = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	}
	s.ejected_count = mpk_get_array_len(in, LOAD_MAX_EJECTED);
	for (i = 0; i < s.ejected_count; i++)
		s.ejected[i] = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	if (in->failed || s.region == e->region)
		return;
	load_on_summary(e, &s);
	if (!from || from->region != s.region)
		return;
	put_summary(e, &d, &s);
	emsg_send_to_peers(e, &d);
}

static void on_server_message(struct edge *e, struct mpk_reader *in,
			      enum emsg_kind kind)
{
	uint64_t key = mpk_get_uint(in, 1, UINT64_MAX);
	enum hlth_outcome outcome = kind == EMSG_OUTCOME
					    ? (enum hlth_outcome)mpk_get_uint(
						      in, 0, HLTH_OUTCOMES - 1)
					    : HLTH_SUCCESS;
	struct srv_row *s = srv_find(e, key, NULL);

	if (in->failed || !s)
		return;
	if (kind == EMSG_OUTCOME)
		hlth_record_peer_outcome(e, s, outcome);
	else
		hlth_record_peer_trial(e, s);
}

static void on_datagram(struct edge *e, struct str bytes,
			const struct sockaddr_in *from)
{
	struct mpk_reader in;
	uint64_t kind, sender, era;
	struct era_version config;
	struct vm_row *vm;

	mpk_reader_init(&in, bytes);
	mpk_get_array_len(&in, MAX_FIELDS);
	if (mpk_get_uint(&in, 0, UINT64_MAX) != MESSAGE_FORMAT)
		return;
	kind = mpk_get_uint(&in, EMSG_OUTCOME, EMSG_LAST);
	sender = mpk_get_uint(&in, 0, UINT64_MAX);
	era = mpk_get_uint(&in, 0, UINT64_MAX);
	config.era = mpk_get_uint(&in, 0, UINT64_MAX);
	config.version = mpk_get_uint(&in, 0, UINT64_MAX);
	if (sender == e->self || in.failed)
		return;
	vm_record_alive(e, sender, 0);
	vm = vm_find(e, sender);
	if (vm && config.era <= era) {
		sync_on_era(e, era);
		sync_on_peer_config(e, vm, config);
	}
	if (kind == EMSG_MEMBERS || kind == EMSG_MEMBERS_REQUEST)
		emsg_on_members(e, &in, from, kind == EMSG_MEMBERS_REQUEST);
	else if (kind == EMSG_NOTICE)
		on_notice(e, &in, sender, era);
	else if (kind == EMSG_LOAD)
		on_load(e, &in, sender);
	else if (kind == EMSG_SUMMARY)
		on_summary(e, &in, sender);
	else if (kind == EMSG_EJECTION)
		on_ejection(e, &in, sender);
	else if (kind == EMSG_LEAVING)
		on_leaving(e, &in, sender);
	else if (kind == EMSG_QUOTA || kind == EMSG_QUOTA_REGION)
		emsg_on_quota(e, &in, sender, kind == EMSG_QUOTA_REGION);
	else
		on_server_message(e, &in, (enum emsg_kind)kind);
	if (in.failed)
		logs_msg(LOGS_WARNING, "news",
			 "malformed message from another VM; ignored");
}

static void on_readable(void *ctx, struct hnd row, uint32_t events)
{
	struct edge *e = ctx;
	int i;

	for (i = 0; i < READ_BATCH; i++) {
		char bytes[EMSG_MAX_BYTES];
		struct sockaddr_in from;
		socklen_t size = sizeof(from);
		ssize_t n = recvfrom(e->message_fd, bytes, sizeof(bytes),
				     MSG_DONTWAIT, (void *)&from, &size);

		if (n < 0)
			return;
		on_datagram(e, (struct str){bytes, (size_t)n}, &from);
	}
}

static void on_gossip_timer(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	bool isolated = e->vms.len < 2 && e->settings.seed_count > 1;

	emsg_send_members(e, false);
	vm_expire(e);
	tmr_subscribe(
		&e->ev.timers,
		&(struct tmr_opts){
			.due_ns = now_ns + (isolated ? ISOLATED_GOSSIP_PERIOD_NS
						     : GOSSIP_PERIOD_NS),
			.fire = on_gossip_timer,
			.ctx = e,
		});
}

enum err emsg_start(struct edge *e)
{
	e->message_fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (e->message_fd < 0)
		return ERR_IO;
	if (bind(e->message_fd, (void *)&e->settings.message_addr,
		 sizeof(e->settings.message_addr)))
		return ERR_IO;
	ev_set_handler(&e->ev, EV_DATAGRAM, on_readable, e);
	on_gossip_timer(e, e->ev.now_ns);
	return ev_add(&e->ev, e->message_fd, EV_DATAGRAM, HND_NONE, EPOLLIN);
}

void emsg_stop(struct edge *e)
{
	if (e->message_fd >= 0)
		close(e->message_fd);
	e->message_fd = -1;
}
