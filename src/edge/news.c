#include "news.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bud.h"
#include "logs.h"
#include "mem.h"
#include "newsi.h"
#include "srv.h"

#define FORMAT 2
/* Of a message, its kind and sender included. */
#define MAX_FIELDS 8
/* Numbers for each service in a report of the budget. */
#define BUDGET_FIELDS 5
/* Datagrams read for one event, so that callers are not kept waiting. */
#define READ_BATCH 64
/* VMs of another region that hear a summary and pass it on. */
#define FAR_TARGETS 2
#define PERIOD_NS NS_PER_S
/* Period while this VM has heard of nobody. */
#define LONELY_PERIOD_NS (250 * NS_PER_MS)

void news_begin(struct edge *e, struct news_datagram *d, enum news_kind kind,
		uint32_t fields)
{
	mpk_writer_init(&d->out, d->bytes, sizeof(d->bytes));
	mpk_put_array(&d->out, fields + 3);
	mpk_put_uint(&d->out, FORMAT);
	mpk_put_uint(&d->out, kind);
	mpk_put_uint(&d->out, e->self);
}

void news_send(struct edge *e, const struct news_datagram *d,
	       const struct sockaddr_in *to)
{
	size_t len = sizeof(d->bytes) - d->out.left;

	if (d->out.overflow || e->news_fd < 0)
		return;
	/* A datagram that the kernel refuses is as good as lost on the way. */
	if (sendto(e->news_fd, d->bytes, len, MSG_DONTWAIT, (const void *)to,
		   sizeof(*to)) < 0)
		logs_msg(LOGS_DEBUG, "news", "datagram not sent: %s",
			 strerror(errno));
}

void news_send_region(struct edge *e, const struct news_datagram *d)
{
	uint32_t i;

	for (i = 0; i < e->members.len; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		if (m->key != e->self && m->region == e->region &&
		    mem_is_alive(e, m))
			news_send(e, d, &m->peer);
	}
}

/* True when the region has had its share of messages; counts one more. */
static bool is_served(uint64_t *regions, uint32_t *sent, uint32_t *count,
		      uint64_t region)
{
	uint32_t i;

	for (i = 0; i < *count; i++)
		if (regions[i] == region)
			return ++sent[i] > FAR_TARGETS;
	if (*count == ESET_MAX_ZONES)
		return true;
	regions[*count] = region;
	sent[(*count)++] = 1;
	return false;
}

/* To a few VMs of each other region. */
static void send_far(struct edge *e, const struct news_datagram *d)
{
	uint64_t regions[ESET_MAX_ZONES];
	uint32_t sent[ESET_MAX_ZONES], count = 0;
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->region != e->region && mem_is_alive(e, m) &&
		    !is_served(regions, sent, &count, m->region))
			news_send(e, d, &m->peer);
	}
}

void news_outcome(struct edge *e, const struct srv_row *s,
		  enum hlth_outcome outcome)
{
	struct news_datagram d;

	news_begin(e, &d, NEWS_OUTCOME, 2);
	mpk_put_uint(&d.out, s->key);
	mpk_put_uint(&d.out, outcome);
	news_send_region(e, &d);
}

static void put_ejection(struct edge *e, struct news_datagram *d,
			 uint64_t server)
{
	news_begin(e, d, NEWS_EJECTION, 1);
	mpk_put_uint(&d->out, server);
}

void news_ejection(struct edge *e, const struct srv_row *s)
{
	struct news_datagram d;

	put_ejection(e, &d, s->key);
	send_far(e, &d);
}

static void hear_ejection(struct edge *e, struct mpk_reader *in,
			  uint64_t sender)
{
	uint64_t key = mpk_get_uint(in, 1, UINT64_MAX);
	const struct mem_row *from = mem_find(e, sender);
	struct srv_row *s = srv_find(e, key, NULL);
	struct news_datagram d;

	if (in->failed || !s || !from || s->region == e->region)
		return;
	s->ejected_there = true;
	if (from->region == e->region)
		return;
	put_ejection(e, &d, key);
	news_send_region(e, &d);
}

void news_trial(struct edge *e, const struct srv_row *s)
{
	struct news_datagram d;

	news_begin(e, &d, NEWS_TRIAL, 1);
	mpk_put_uint(&d.out, s->key);
	news_send_region(e, &d);
}

void news_notice(struct edge *e, const struct sync_notice *n)
{
	struct news_datagram d;
	uint32_t i;

	news_begin(e, &d, NEWS_NOTICE, 5);
	mpk_put_uint(&d.out, n->config);
	mpk_put_uint(&d.out, n->from);
	mpk_put_uint(&d.out, n->to);
	mpk_put_int(&d.out, n->store_back_ns / NS_PER_MS);
	mpk_put_array(&d.out, n->row_count);
	for (i = 0; i < n->row_count; i++)
		cdc_put_row(&d.out, &n->rows[i]);
	news_send_region(e, &d);
}

static void hear_notice(struct edge *e, struct mpk_reader *in, uint64_t sender)
{
	const struct mem_row *from = mem_find(e, sender);
	struct sync_notice n = {.row_count = 0};
	uint32_t i;

	n.config = mpk_get_uint(in, 0, UINT64_MAX);
	n.from = mpk_get_uint(in, 0, UINT64_MAX);
	n.to = mpk_get_uint(in, 0, UINT64_MAX);
	n.store_back_ns =
		(int64_t)mpk_get_uint(in, 0, INT64_MAX / NS_PER_MS) * NS_PER_MS;
	n.row_count = mpk_get_array_len(in, SYNC_MAX_ROWS);
	for (i = 0; i < n.row_count; i++)
		cdc_get_row(in, &n.rows[i]);
	if (from && !in->failed)
		sync_hear(e, from, &n);
}

static void put_budget(struct mpk_writer *out, const struct bud_report *r)
{
	uint32_t i;

	mpk_put_array(out, r->count * BUDGET_FIELDS);
	for (i = 0; i < r->count; i++) {
		mpk_put_uint(out, r->counts[i].service);
		mpk_put_uint(out, r->counts[i].requests);
		mpk_put_uint(out, r->counts[i].repeats);
		mpk_put_uint(out, r->counts[i].recent);
		mpk_put_uint(out, r->counts[i].lost);
	}
}

static void get_budget(struct mpk_reader *in, struct bud_report *r)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->count = mpk_get_array_len(in, BUD_MAX_COUNTS * BUDGET_FIELDS) /
		   BUDGET_FIELDS;
	for (i = 0; i < r->count; i++) {
		r->counts[i].service = mpk_get_uint(in, 0, UINT64_MAX);
		r->counts[i].requests =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r->counts[i].repeats =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r->counts[i].recent = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r->counts[i].lost = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	}
}

void news_load(struct edge *e, const struct load_report *r,
	       const struct bud_report *budget)
{
	struct news_datagram d;
	uint32_t i;

	news_begin(e, &d, NEWS_LOAD, 2);
	put_budget(&d.out, budget);
	mpk_put_array(&d.out, r->count * 2);
	for (i = 0; i < r->count; i++) {
		mpk_put_uint(&d.out, r->servers[i]);
		mpk_put_uint(&d.out, r->in_flight[i]);
	}
	news_send_region(e, &d);
}

static void hear_load(struct edge *e, struct mpk_reader *in, uint64_t sender)
{
	struct mem_row *from = mem_find(e, sender);
	struct bud_report budget;
	struct load_report r;
	uint32_t i;

	get_budget(in, &budget);
	memset(&r, 0, sizeof(r));
	r.count = mpk_get_array_len(in, LOAD_MAX_COUNTS * 2) / 2;
	for (i = 0; i < r.count; i++) {
		r.servers[i] = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r.in_flight[i] = (uint32_t)mpk_get_uint(in, 0, UINT16_MAX);
	}
	if (!from || in->failed)
		return;
	load_hear(e, from, &r);
	if (budget.count)
		bud_hear(e, from, &budget);
}

static void put_summary(struct edge *e, struct news_datagram *d,
			const struct load_summary *s)
{
	uint32_t i;

	news_begin(e, d, NEWS_SUMMARY, 3);
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

void news_summary(struct edge *e, const struct load_summary *s)
{
	struct news_datagram d;

	put_summary(e, &d, s);
	send_far(e, &d);
}

static void hear_summary(struct edge *e, struct mpk_reader *in, uint64_t sender)
{
	const struct mem_row *from = mem_find(e, sender);
	struct load_summary s = {.region = 0};
	struct news_datagram d;
	uint32_t i;

	s.region = mpk_get_uint(in, 0, UINT64_MAX);
	s.service_count = mpk_get_array_len(in, LOAD_MAX_COUNTS * 3) / 3;
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
	load_hear_summary(e, &s);
	if (!from || from->region != s.region)
		return;
	put_summary(e, &d, &s);
	news_send_region(e, &d);
}

static void hear_server(struct edge *e, struct mpk_reader *in,
			enum news_kind kind)
{
	uint64_t key = mpk_get_uint(in, 1, UINT64_MAX);
	enum hlth_outcome outcome = kind == NEWS_OUTCOME
					    ? (enum hlth_outcome)mpk_get_uint(
						      in, 0, HLTH_OUTCOMES - 1)
					    : HLTH_SUCCESS;
	struct srv_row *s = srv_find(e, key, NULL);

	if (in->failed || !s)
		return;
	if (kind == NEWS_OUTCOME)
		hlth_hear(e, s, outcome);
	else
		hlth_hear_trial(e, s);
}

static void hear(struct edge *e, struct str bytes,
		 const struct sockaddr_in *from)
{
	struct mpk_reader in;
	uint64_t kind, sender;

	mpk_reader_init(&in, bytes);
	mpk_get_array_len(&in, MAX_FIELDS);
	if (mpk_get_uint(&in, 0, UINT64_MAX) != FORMAT)
		return;
	kind = mpk_get_uint(&in, NEWS_OUTCOME, NEWS_LAST);
	sender = mpk_get_uint(&in, 0, UINT64_MAX);
	if (sender == e->self || in.failed)
		return;
	mem_hear_sign(e, sender, 0);
	if (kind == NEWS_MEMBERS || kind == NEWS_ASK)
		news_hear_members(e, &in, from, kind == NEWS_ASK);
	else if (kind == NEWS_NOTICE)
		hear_notice(e, &in, sender);
	else if (kind == NEWS_LOAD)
		hear_load(e, &in, sender);
	else if (kind == NEWS_SUMMARY)
		hear_summary(e, &in, sender);
	else if (kind == NEWS_EJECTION)
		hear_ejection(e, &in, sender);
	else
		hear_server(e, &in, (enum news_kind)kind);
	if (in.failed)
		logs_msg(LOGS_WARNING, "news", "malformed datagram");
}

static void on_ready(void *ctx, struct hnd row, uint32_t events)
{
	struct edge *e = ctx;
	int i;

	for (i = 0; i < READ_BATCH; i++) {
		char bytes[NEWS_MAX_BYTES];
		struct sockaddr_in from;
		socklen_t size = sizeof(from);
		ssize_t n = recvfrom(e->news_fd, bytes, sizeof(bytes),
				     MSG_DONTWAIT, (void *)&from, &size);

		if (n < 0)
			return;
		hear(e, (struct str){bytes, (size_t)n}, &from);
	}
}

static void on_period(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	bool lonely = e->members.len < 2 && e->set.seed_count > 1;

	news_members(e, false);
	mem_expire(e);
	tmr_subscribe(&e->ev.timers,
		      &(struct tmr_opts){
			      .due_ns = now_ns +
					(lonely ? LONELY_PERIOD_NS : PERIOD_NS),
			      .fire = on_period,
			      .ctx = e,
		      });
}

enum err news_start(struct edge *e)
{
	e->news_fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (e->news_fd < 0)
		return ERR_IO;
	if (bind(e->news_fd, (void *)&e->set.address, sizeof(e->set.address)))
		return ERR_IO;
	ev_on(&e->ev, EV_NEWS, on_ready, e);
	on_period(e, e->ev.now_ns);
	return ev_add(&e->ev, e->news_fd, EV_NEWS, HND_NONE, EPOLLIN);
}

void news_stop(struct edge *e)
{
	if (e->news_fd >= 0)
		close(e->news_fd);
	e->news_fd = -1;
}
