#include "news.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bud.h"
#include "logs.h"
#include "mem.h"
#include "mpk.h"
#include "srv.h"

/* Fits an Ethernet frame with its headers. */
#define MAX_DATAGRAM 1400
#define FORMAT 2
/* Of a message, its kind and sender included. */
#define MAX_FIELDS 8
/* Records in a message: the sender's, and others by rotation. */
#define RECORDS 5
/* Records in an answer to a VM that asks for the list. */
#define LIST_RECORDS 18
/* VMs of which a message says only that they are alive. */
#define SIGNS 72
#define RECORD_FIELDS 11
/* Numbers for each service in a report of the budget. */
#define BUDGET_FIELDS 5
/* Datagrams read for one event, so that callers are not kept waiting. */
#define READ_BATCH 64
/* VMs that hear from this one in each period, by region. */
#define NEAR_TARGETS 2
/* VMs of another region that hear a summary and pass it on. */
#define FAR_TARGETS 2
/* One of so many periods also reaches another region. */
#define FAR_PERIODS 4
#define PERIOD_NS NS_PER_S
/* Period while this VM has heard of nobody. */
#define LONELY_PERIOD_NS (250 * NS_PER_MS)
/* Age above which a record is refused. */
#define MAX_AGE_NS (60 * NS_PER_S)
/* After its start a VM asks the seeds for the list in each period. */
#define ASK_NS (3 * NS_PER_S)
/* One of so many periods reaches the seeds, so that two parts of a fleet
 * that lost each other meet again. */
#define SEED_PERIODS 8

enum message {
	NEWS_OUTCOME = 1,
	NEWS_TRIAL,
	NEWS_MEMBERS,
	/* As members, and asks for the receiver's in return. */
	NEWS_ASK,
	/* What a reader of the store has read. */
	NEWS_NOTICE,
	NEWS_LOAD,
	/* State of a region; a VM that hears it from there passes it on. */
	NEWS_SUMMARY,
	/* A server of the sender's region was ejected; passed on likewise. */
	NEWS_EJECTION,
	NEWS_LAST = NEWS_EJECTION,
};

struct datagram {
	char bytes[MAX_DATAGRAM];
	struct mpk_out out;
};

static void begin(struct edge *e, struct datagram *d, enum message kind,
		  uint32_t fields)
{
	mpk_out_init(&d->out, d->bytes, sizeof(d->bytes));
	mpk_put_array(&d->out, fields + 3);
	mpk_put_uint(&d->out, FORMAT);
	mpk_put_uint(&d->out, kind);
	mpk_put_uint(&d->out, e->self);
}

static void send_to(struct edge *e, const struct datagram *d,
		    const struct sockaddr_in *to)
{
	size_t len = sizeof(d->bytes) - d->out.left;

	if (d->out.full || e->news_fd < 0)
		return;
	/* A datagram that the kernel refuses is as good as lost on the way. */
	if (sendto(e->news_fd, d->bytes, len, MSG_DONTWAIT, (const void *)to,
		   sizeof(*to)) < 0)
		logs_msg(LOGS_DEBUG, "news", "datagram not sent: %s",
			 strerror(errno));
}

static void send_region(struct edge *e, const struct datagram *d)
{
	uint32_t i;

	for (i = 0; i < e->members.len; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		if (m->key != e->self && m->region == e->region &&
		    mem_is_alive(e, m))
			send_to(e, d, &m->peer);
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
static void send_far(struct edge *e, const struct datagram *d)
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
			send_to(e, d, &m->peer);
	}
}

void news_outcome(struct edge *e, const struct srv_row *s,
		  enum hlth_outcome outcome)
{
	struct datagram d;

	begin(e, &d, NEWS_OUTCOME, 2);
	mpk_put_uint(&d.out, s->key);
	mpk_put_uint(&d.out, outcome);
	send_region(e, &d);
}

static void put_ejection(struct edge *e, struct datagram *d, uint64_t server)
{
	begin(e, d, NEWS_EJECTION, 1);
	mpk_put_uint(&d->out, server);
}

void news_ejection(struct edge *e, const struct srv_row *s)
{
	struct datagram d;

	put_ejection(e, &d, s->key);
	send_far(e, &d);
}

static void hear_ejection(struct edge *e, struct mpk_in *in, uint64_t sender)
{
	uint64_t key = mpk_get_uint(in, 1, UINT64_MAX);
	const struct mem_row *from = mem_find(e, sender);
	struct srv_row *s = srv_find(e, key, NULL);
	struct datagram d;

	if (in->bad || !s || !from || s->region == e->region)
		return;
	s->ejected_there = true;
	if (from->region == e->region)
		return;
	put_ejection(e, &d, key);
	send_region(e, &d);
}

void news_trial(struct edge *e, const struct srv_row *s)
{
	struct datagram d;

	begin(e, &d, NEWS_TRIAL, 1);
	mpk_put_uint(&d.out, s->key);
	send_region(e, &d);
}

void news_notice(struct edge *e, const struct sync_notice *n)
{
	struct datagram d;
	uint32_t i;

	begin(e, &d, NEWS_NOTICE, 5);
	mpk_put_uint(&d.out, n->config);
	mpk_put_uint(&d.out, n->from);
	mpk_put_uint(&d.out, n->to);
	mpk_put_int(&d.out, n->store_back_ns / NS_PER_MS);
	mpk_put_array(&d.out, n->row_count);
	for (i = 0; i < n->row_count; i++)
		cdc_put_row(&d.out, &n->rows[i]);
	send_region(e, &d);
}

static void hear_notice(struct edge *e, struct mpk_in *in, uint64_t sender)
{
	const struct mem_row *from = mem_find(e, sender);
	struct sync_notice n = {.row_count = 0};
	uint32_t i;

	n.config = mpk_get_uint(in, 0, UINT64_MAX);
	n.from = mpk_get_uint(in, 0, UINT64_MAX);
	n.to = mpk_get_uint(in, 0, UINT64_MAX);
	n.store_back_ns =
		(int64_t)mpk_get_uint(in, 0, INT64_MAX / NS_PER_MS) * NS_PER_MS;
	n.row_count = mpk_get_list(in, SYNC_MAX_ROWS);
	for (i = 0; i < n.row_count; i++)
		cdc_get_row(in, &n.rows[i]);
	if (from && !in->bad)
		sync_hear(e, from, &n);
}

static void put_budget(struct mpk_out *out, const struct bud_report *r)
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

static void get_budget(struct mpk_in *in, struct bud_report *r)
{
	uint32_t i;

	memset(r, 0, sizeof(*r));
	r->count = mpk_get_list(in, BUD_MAX_COUNTS * BUDGET_FIELDS) /
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
	struct datagram d;
	uint32_t i;

	begin(e, &d, NEWS_LOAD, 2);
	put_budget(&d.out, budget);
	mpk_put_array(&d.out, r->count * 2);
	for (i = 0; i < r->count; i++) {
		mpk_put_uint(&d.out, r->servers[i]);
		mpk_put_uint(&d.out, r->in_flight[i]);
	}
	send_region(e, &d);
}

static void hear_load(struct edge *e, struct mpk_in *in, uint64_t sender)
{
	struct mem_row *from = mem_find(e, sender);
	struct bud_report budget;
	struct load_report r;
	uint32_t i;

	get_budget(in, &budget);
	memset(&r, 0, sizeof(r));
	r.count = mpk_get_list(in, LOAD_MAX_COUNTS * 2) / 2;
	for (i = 0; i < r.count; i++) {
		r.servers[i] = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		r.in_flight[i] = (uint32_t)mpk_get_uint(in, 0, UINT16_MAX);
	}
	if (!from || in->bad)
		return;
	load_hear(e, from, &r);
	if (budget.count)
		bud_hear(e, from, &budget);
}

static void put_summary(struct edge *e, struct datagram *d,
			const struct load_summary *s)
{
	uint32_t i;

	begin(e, d, NEWS_SUMMARY, 3);
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
	struct datagram d;

	put_summary(e, &d, s);
	send_far(e, &d);
}

static void hear_summary(struct edge *e, struct mpk_in *in, uint64_t sender)
{
	const struct mem_row *from = mem_find(e, sender);
	struct load_summary s = {.region = 0};
	struct datagram d;
	uint32_t i;

	s.region = mpk_get_uint(in, 0, UINT64_MAX);
	s.service_count = mpk_get_list(in, LOAD_MAX_COUNTS * 3) / 3;
	for (i = 0; i < s.service_count; i++) {
		s.services[i].service = mpk_get_uint(in, 0, UINT64_MAX);
		s.services[i].in_flight =
			(uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
		s.services[i].slots = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	}
	s.ejected_count = mpk_get_list(in, LOAD_MAX_EJECTED);
	for (i = 0; i < s.ejected_count; i++)
		s.ejected[i] = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	if (in->bad || s.region == e->region)
		return;
	load_hear_summary(e, &s);
	if (!from || from->region != s.region)
		return;
	put_summary(e, &d, &s);
	send_region(e, &d);
}

static void put_record(struct mpk_out *out, const struct mem_record *r)
{
	mpk_put_array(out, RECORD_FIELDS);
	mpk_put_uint(out, r->key);
	mpk_put_uint(out, r->zone);
	mpk_put_uint(out, r->region);
	mpk_put_uint(out, ntohl(r->peer.sin_addr.s_addr));
	mpk_put_uint(out, ntohs(r->peer.sin_port));
	mpk_put_uint(out, r->callers_port);
	mpk_put_uint(out, (uint64_t)r->leaving << 1 | r->ready);
	mpk_put_uint(out, r->link_mbps);
	mpk_put_uint(out, r->incarnation);
	mpk_put_uint(out, r->beat);
	mpk_put_int(out, r->age_ns / NS_PER_MS);
}

static void get_record(struct mpk_in *in, struct mem_record *r)
{
	uint64_t flags;

	memset(r, 0, sizeof(*r));
	mpk_get_array(in, RECORD_FIELDS);
	r->key = mpk_get_uint(in, 1, UINT64_MAX);
	r->zone = mpk_get_uint(in, 0, UINT64_MAX);
	r->region = mpk_get_uint(in, 0, UINT64_MAX);
	r->peer.sin_family = AF_INET;
	r->peer.sin_addr.s_addr =
		htonl((uint32_t)mpk_get_uint(in, 0, UINT32_MAX));
	r->peer.sin_port = htons((uint16_t)mpk_get_uint(in, 1, UINT16_MAX));
	r->callers_port = (uint16_t)mpk_get_uint(in, 1, UINT16_MAX);
	flags = mpk_get_uint(in, 0, 3);
	r->ready = flags & 1;
	r->leaving = flags >> 1;
	r->link_mbps = (uint32_t)mpk_get_uint(in, 0, UINT32_MAX);
	r->incarnation = mpk_get_uint(in, 0, UINT64_MAX);
	r->beat = mpk_get_uint(in, 0, UINT64_MAX);
	r->age_ns = (int64_t)mpk_get_uint(in, 0, MAX_AGE_NS / NS_PER_MS) *
		    NS_PER_MS;
}

/* Records from row first on, the sender's before them; returns the next. */
static uint32_t put_records(struct edge *e, struct datagram *d,
			    enum message kind, uint32_t first, uint32_t max)
{
	struct mem_record records[LIST_RECORDS];
	uint32_t i, n = 0;

	mem_describe(e, mem_self(e), &records[n++]);
	for (i = first; i < e->members.len && n < max; i++) {
		const struct mem_row *m = tab_at(&e->members, i);

		if (m->key != e->self && mem_is_alive(e, m))
			mem_describe(e, m, &records[n++]);
	}
	begin(e, d, kind, 2);
	mpk_put_array(&d->out, n);
	while (n > 0)
		put_record(&d->out, &records[--n]);
	return i;
}

/* Key and age of VMs, from a random row on. */
static void put_signs(struct edge *e, struct datagram *d)
{
	uint64_t signs[SIGNS * 2];
	size_t n = 0;
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);

	for (i = 0; i < len && n < SIGNS; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->key == e->self || !mem_is_alive(e, m))
			continue;
		signs[n * 2] = m->key;
		signs[n * 2 + 1] =
			(uint64_t)((e->ev.now_ns - m->heard_ns) / NS_PER_MS);
		n++;
	}
	mpk_put_array(&d->out, (uint32_t)n * 2);
	for (i = 0; i < n * 2; i++)
		mpk_put_uint(&d->out, signs[i]);
}

static void put_members(struct edge *e, struct datagram *d, enum message kind)
{
	put_records(e, d, kind, (uint32_t)(edge_random(e) % e->members.len),
		    RECORDS);
	put_signs(e, d);
}

static void send_list(struct edge *e, const struct sockaddr_in *to)
{
	struct datagram d;
	uint32_t next = 0;

	while (next < e->members.len) {
		next = put_records(e, &d, NEWS_MEMBERS, next, LIST_RECORDS);
		mpk_put_array(&d.out, 0);
		send_to(e, &d, to);
	}
}

static void send_seeds(struct edge *e, enum message kind)
{
	struct datagram d;
	size_t i;

	put_members(e, &d, kind);
	for (i = 0; i < e->set.seed_count; i++) {
		struct sockaddr_in to = e->set.seeds[i];

		to.sin_port = htons((uint16_t)e->set.peer_port);
		if (to.sin_addr.s_addr != e->set.address.sin_addr.s_addr)
			send_to(e, &d, &to);
	}
}

static void send_random(struct edge *e, bool near)
{
	uint32_t i, len = e->members.len;
	uint32_t start = (uint32_t)(edge_random(e) % len);
	struct datagram d;

	for (i = 0; i < len; i++) {
		const struct mem_row *m =
			tab_at(&e->members, (start + i) % len);

		if (m->key == e->self || !mem_is_alive(e, m) ||
		    near != (m->region == e->region))
			continue;
		put_members(e, &d, NEWS_MEMBERS);
		send_to(e, &d, &m->peer);
		return;
	}
}

static void refresh_self(struct edge *e)
{
	struct mem_row *self = mem_self(e);

	self->beat++;
	self->heard_ns = e->ev.now_ns;
	self->ready = edge_is_ready(e);
	self->state = e->leaving ? MEM_LEAVING : MEM_ALIVE;
}

void news_members(struct edge *e, bool urgent)
{
	struct datagram d;
	int i;

	refresh_self(e);
	if (e->members.len < 2 || e->ev.now_ns - e->start_ns < ASK_NS)
		send_seeds(e, NEWS_ASK);
	else if (!(mem_self(e)->beat % SEED_PERIODS))
		send_seeds(e, NEWS_MEMBERS);
	if (urgent) {
		put_members(e, &d, NEWS_MEMBERS);
		send_region(e, &d);
	}
	for (i = 0; i < NEAR_TARGETS; i++)
		send_random(e, true);
	if (urgent || !(edge_random(e) % FAR_PERIODS))
		send_random(e, false);
}

static void hear_members(struct edge *e, struct mpk_in *in,
			 const struct sockaddr_in *from, bool asked)
{
	struct mem_record records[LIST_RECORDS];
	uint64_t signs[SIGNS * 2];
	uint32_t i, n, count;

	n = mpk_get_list(in, LIST_RECORDS);
	for (i = 0; i < n; i++)
		get_record(in, &records[i]);
	count = mpk_get_list(in, SIGNS * 2);
	for (i = 0; i < count; i++)
		signs[i] = mpk_get_uint(in, 0, UINT64_MAX);
	if (in->bad)
		return;
	for (i = 0; i < n; i++)
		mem_hear(e, &records[i]);
	for (i = 0; i + 1 < count; i += 2)
		if (signs[i + 1] <= MAX_AGE_NS / NS_PER_MS)
			mem_hear_sign(e, signs[i],
				      (int64_t)signs[i + 1] * NS_PER_MS);
	if (asked)
		send_list(e, from);
}

static void hear_server(struct edge *e, struct mpk_in *in, enum message kind)
{
	uint64_t key = mpk_get_uint(in, 1, UINT64_MAX);
	enum hlth_outcome outcome = kind == NEWS_OUTCOME
					    ? (enum hlth_outcome)mpk_get_uint(
						      in, 0, HLTH_OUTCOMES - 1)
					    : HLTH_SUCCESS;
	struct srv_row *s = srv_find(e, key, NULL);

	if (in->bad || !s)
		return;
	if (kind == NEWS_OUTCOME)
		hlth_hear(e, s, outcome);
	else
		hlth_hear_trial(e, s);
}

static void hear(struct edge *e, struct str bytes,
		 const struct sockaddr_in *from)
{
	struct mpk_in in;
	uint64_t kind, sender;

	mpk_in_init(&in, bytes);
	mpk_get_list(&in, MAX_FIELDS);
	if (mpk_get_uint(&in, 0, UINT64_MAX) != FORMAT)
		return;
	kind = mpk_get_uint(&in, NEWS_OUTCOME, NEWS_LAST);
	sender = mpk_get_uint(&in, 0, UINT64_MAX);
	if (sender == e->self || in.bad)
		return;
	mem_hear_sign(e, sender, 0);
	if (kind == NEWS_MEMBERS || kind == NEWS_ASK)
		hear_members(e, &in, from, kind == NEWS_ASK);
	else if (kind == NEWS_NOTICE)
		hear_notice(e, &in, sender);
	else if (kind == NEWS_LOAD)
		hear_load(e, &in, sender);
	else if (kind == NEWS_SUMMARY)
		hear_summary(e, &in, sender);
	else if (kind == NEWS_EJECTION)
		hear_ejection(e, &in, sender);
	else
		hear_server(e, &in, (enum message)kind);
	if (in.bad)
		logs_msg(LOGS_WARNING, "news", "malformed datagram");
}

static void on_ready(void *ctx, struct hnd row, uint32_t events)
{
	struct edge *e = ctx;
	int i;

	for (i = 0; i < READ_BATCH; i++) {
		char bytes[MAX_DATAGRAM];
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
