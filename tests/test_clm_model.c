#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "clm_fake.h"
#include "clms.h"

/*
 * Explores all orders of events for one key, with the real code of two VMs:
 * requests at either VM, platform calls that succeed, are lost before or after
 * their effect, take effect late or are not sent, requests that run, end in
 * each way or are late, and pauses. A state is reached by replaying its
 * events; states that look alike are explored once.
 */
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_DEPTH 16
#define MAX_CALLS 4

enum kind {
	ARRIVE,
	DELIVER,
	RUN,
	END,
	/* All clocks jump past every deadline; nothing runs meanwhile. */
	PAUSE,
	/* Time passes and both VMs tick. */
	WAIT,
};

struct event {
	uint8_t kind;
	uint8_t who;
	uint8_t how;
};

struct path {
	struct event events[MAX_DEPTH];
	uint32_t len;
};

static const struct {
	enum core_outcome outcome;
	bool not_run;
} ways[] = {
	{CORE_DONE_OK, false},
	{CORE_DONE_TRUNCATED, false},
	{CORE_DONE_SHED, true},
};

struct scope {
	const char *key;
	uint32_t depth;
	uint32_t arrivals;
	uint32_t pauses;
};

struct world {
	struct fake f;
	/* Requests that a backend server ran or may be running. */
	uint32_t effects;
	uint32_t pauses;
	uint32_t waits;
	uint32_t max_arrivals;
	uint32_t max_pauses;
	bool running[FAKE_MAX_REQS];
	bool answered;
};

static void apply(struct world *w, const char *key, struct event e)
{
	struct fake *f = &w->f;

	switch (e.kind) {
	case ARRIVE:
		fake_arrive(f, e.who, key, 1);
		break;
	case DELIVER:
		fake_deliver(f, e.who, (enum fake_how)e.how);
		break;
	case RUN:
		w->running[e.who] = fake_run(f, &f->reqs[e.who]);
		w->effects += w->running[e.who];
		break;
	case END:
		w->running[e.who] = false;
		w->effects -= ways[e.how].not_run;
		w->answered |= !e.how;
		fake_done(f, &f->reqs[e.who], ways[e.how].outcome,
			  ways[e.how].not_run);
		break;
	case PAUSE:
		w->pauses++;
		f->now += FAKE_DEADLINE_NS + NS_PER_S;
		break;
	default:
		w->waits++;
		f->now += 3 * NS_PER_S / 2;
		fake_tick(f, 0);
		fake_tick(f, 1);
		break;
	}
}

static uint32_t list_events(struct world *w, struct event *out)
{
	struct fake *f = &w->f;
	uint32_t n = 0, i;
	uint8_t how;

	for (i = 0; f->req_count < w->max_arrivals && i < FAKE_VMS; i++)
		out[n++] = (struct event){ARRIVE, (uint8_t)i, 0};
	for (i = 0; i < f->call_count && i < MAX_CALLS; i++)
		for (how = FAKE_OK; how <= FAKE_UNSENT; how++)
			/* A late call can only take effect or vanish. */
			if (!f->calls[i].answered || how == FAKE_OK ||
			    how == FAKE_UNSENT)
				out[n++] = (struct event){DELIVER, (uint8_t)i,
							  how};
	for (i = 0; i < f->req_count; i++) {
		if (fake_is_queued(f, &f->reqs[i]))
			out[n++] = (struct event){RUN, (uint8_t)i, 0};
		for (how = 0; w->running[i] && how < COUNT(ways); how++)
			out[n++] = (struct event){END, (uint8_t)i, how};
	}
	if (w->pauses < w->max_pauses)
		out[n++] = (struct event){PAUSE, 0, 0};
	if (w->waits < w->max_pauses)
		out[n++] = (struct event){WAIT, 0, 0};
	return n;
}

static void add_vm(struct strbuf *s, const struct core *c, int64_t now)
{
	const struct clmk *keys = &c->clm->keys;
	uint32_t i;

	for (i = 0; i < keys->rows.len; i++) {
		const struct clmk_row *k = tab_at(&keys->rows, i);

		strbuf_addf(s, "|%d %llu %llu %d%d%d%d %d %lld", k->state,
			    (unsigned long long)k->nonce,
			    (unsigned long long)k->version, k->maybe_sent,
			    k->dirty, k->calling, k->step, k->req.slot,
			    (long long)(now - k->began_ns));
	}
	strbuf_addf(s, "|due %lld", (long long)(clm_next_due(c) - now));
}

/* Text that is equal for states with the same future. */
static uint64_t look(struct world *w, struct strbuf *s)
{
	struct fake *f = &w->f;
	uint32_t i;

	strbuf_reset(s);
	for (i = 0; i < FAKE_VMS; i++)
		add_vm(s, &f->vms[i].core, f->now);
	for (i = 0; i < f->call_count; i++)
		strbuf_addf(s, "|%d %d %llu %s %d", f->calls[i].vm,
			    f->calls[i].call.op,
			    (unsigned long long)f->calls[i].call.expect,
			    f->calls[i].value, f->calls[i].answered);
	for (i = 0; i < f->row_count; i++)
		strbuf_addf(s, "|%llu %s",
			    (unsigned long long)f->rows[i].version,
			    f->rows[i].value);
	for (i = 0; i < f->req_count; i++) {
		const struct req_row *req = fake_row(f, &f->reqs[i]);

		strbuf_addf(s, "|%d %d %d %lld", f->reqs[i].vm, f->reqs[i].end,
			    req ? (int)req->state : -1,
			    req ? (long long)(req->deadline_ns - f->now) : 0);
	}
	strbuf_addf(s, "|%u %u %u %d", w->effects, w->pauses, w->waits,
		    w->answered);
	return str_hash(strbuf_view(s));
}

static void check(struct world *w)
{
	uint32_t i;

	assert_true(w->effects <= 1);
	for (i = 0; i < w->f.req_count; i++)
		if (w->f.reqs[i].end == FAKE_ANSWER)
			assert_true(w->answered);
}

static void replay(struct world *w, const struct scope *scope,
		   const struct path *p)
{
	uint32_t i;

	memset(w, 0, sizeof(*w));
	fake_init(&w->f);
	w->max_arrivals = scope->arrivals;
	w->max_pauses = scope->pauses;
	for (i = 0; i < p->len; i++)
		apply(w, scope->key, p->events[i]);
}

struct search {
	struct tab queue;
	struct idx seen;
	struct world w;
	struct strbuf text;
	const struct scope *scope;
};

/* Adds the states that are one event away. */
static void expand(struct search *s, const struct path *from)
{
	struct event events[64];
	struct path next;
	uint32_t n, i;
	void *row;

	replay(&s->w, s->scope, from);
	n = list_events(&s->w, events);
	fake_free(&s->w.f);
	for (i = 0; i < n; i++) {
		uint64_t hash;

		next = *from;
		next.events[next.len++] = events[i];
		replay(&s->w, s->scope, &next);
		check(&s->w);
		hash = look(&s->w, &s->text);
		fake_free(&s->w.f);
		if (idx_get(&s->seen, hash).gen)
			continue;
		idx_put(&s->seen, hash, (struct hnd){1, 1});
		tab_add(&s->queue, &row);
		*(struct path *)row = next;
	}
}

/* Guards against a second run of one key in any order of faults. */
static void test_explore(void **state)
{
	static const struct scope cases[] = {
		{"k", 7, 3, 2},
		{"k", 9, 2, 1},
		{"a.1.k", 7, 3, 2},
		{"a.1.k", 10, 2, 1},
	};
	/* A lower bound for the slow builds of "make sanitize". */
	const char *limit = getenv("CLM_MODEL_DEPTH");
	uint32_t max = limit ? (uint32_t)strtoul(limit, NULL, 10) : MAX_DEPTH;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		uint32_t depth = cases[i].depth < max ? cases[i].depth : max;
		struct search *s = calloc(1, sizeof(*s));
		uint32_t at;

		assert_non_null(s);
		s->scope = &cases[i];
		tab_init(&s->queue, sizeof(struct path));
		idx_init(&s->seen);
		tab_add(&s->queue, NULL);
		for (at = 0; at < s->queue.len; at++) {
			struct path p = *(struct path *)tab_at(&s->queue, at);

			if (p.len == depth)
				break;
			expand(s, &p);
		}
		print_message("  key %s: %u states, depth %u\n", cases[i].key,
			      s->queue.len, depth);
		tab_free(&s->queue);
		idx_free(&s->seen);
		strbuf_free(&s->text);
		free(s);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_explore),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
