#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <cmocka.h>

#include "claim_fake.h"
#include "claim_state.h"

/*
 * Bounded model checking of one key with the real code of two VMs. The events
 * are requests at either VM; platform calls that succeed, are lost before or
 * after their effect, take effect late or are not sent; requests that run, end
 * in each way or pass their deadline; and pauses. A state is reached by
 * replaying its events; states with the same hash are explored once.
 */
#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_DEPTH 16
#define MAX_CALLS 4

enum event_kind {
	ARRIVE,
	DELIVER,
	RUN,
	END,
	/* Time passes beyond every deadline without a tick. */
	PAUSE,
	/* Time passes and both VMs tick. */
	WAIT,
};

struct event {
	uint8_t kind;
	/* VM, platform call or request. */
	uint8_t index;
	/* enum fake_delivery, or index into attempt_ends. */
	uint8_t variant;
};

struct event_path {
	struct event events[MAX_DEPTH];
	uint32_t len;
};

static const struct {
	enum core_outcome outcome;
	bool not_run;
} attempt_ends[] = {
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

struct model {
	struct fake f;
	/* Requests that a backend server ran or may still be running. */
	uint32_t effects;
	uint32_t pauses;
	uint32_t waits;
	uint32_t max_arrivals;
	uint32_t max_pauses;
	bool running[FAKE_MAX_REQS];
	bool answered;
};

static void apply(struct model *m, const char *key, struct event e)
{
	struct fake *f = &m->f;

	switch (e.kind) {
	case ARRIVE:
		fake_arrive(f, e.index, key, 1);
		break;
	case DELIVER:
		fake_deliver(f, e.index, (enum fake_delivery)e.variant);
		break;
	case RUN:
		m->running[e.index] = fake_run(f, &f->reqs[e.index]);
		m->effects += m->running[e.index];
		break;
	case END:
		m->running[e.index] = false;
		m->effects -= attempt_ends[e.variant].not_run;
		m->answered |= !e.variant;
		fake_done(f, &f->reqs[e.index], attempt_ends[e.variant].outcome,
			  attempt_ends[e.variant].not_run);
		break;
	case PAUSE:
		m->pauses++;
		f->now += FAKE_DEADLINE_NS + NS_PER_S;
		break;
	default:
		m->waits++;
		f->now += 3 * NS_PER_S / 2;
		fake_tick(f, 0);
		fake_tick(f, 1);
		break;
	}
}

static uint32_t list_events(struct model *m, struct event *out)
{
	struct fake *f = &m->f;
	uint32_t n = 0, i;
	uint8_t variant;

	for (i = 0; f->req_count < m->max_arrivals && i < FAKE_VMS; i++)
		out[n++] = (struct event){ARRIVE, (uint8_t)i, 0};
	for (i = 0; i < f->call_count && i < MAX_CALLS; i++)
		for (variant = FAKE_OK; variant <= FAKE_UNSENT; variant++)
			/*
			 * A call that timed out can only take effect or be
			 * lost.
			 */
			if (!f->calls[i].answered || variant == FAKE_OK ||
			    variant == FAKE_UNSENT)
				out[n++] = (struct event){DELIVER, (uint8_t)i,
							  variant};
	for (i = 0; i < f->req_count; i++) {
		if (fake_is_queued(f, &f->reqs[i]))
			out[n++] = (struct event){RUN, (uint8_t)i, 0};
		for (variant = 0;
		     m->running[i] && variant < COUNT(attempt_ends); variant++)
			out[n++] = (struct event){END, (uint8_t)i, variant};
	}
	if (m->pauses < m->max_pauses)
		out[n++] = (struct event){PAUSE, 0, 0};
	if (m->waits < m->max_pauses)
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
			    (unsigned long long)k->version, k->in_doubt,
			    k->outcome_unwritten, k->call_pending, k->call_kind,
			    k->req.slot,
			    (long long)(now - k->claim_started_ns));
	}
	strbuf_addf(s, "|due %lld", (long long)(clm_next_due(c) - now));
}

/* Hash of all that the further course of events depends on. */
static uint64_t hash_state(struct model *m, struct strbuf *s)
{
	struct fake *f = &m->f;
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

		strbuf_addf(s, "|%d %d %d %lld", f->reqs[i].vm,
			    f->reqs[i].state, req ? (int)req->state : -1,
			    req ? (long long)(req->deadline_ns - f->now) : 0);
	}
	strbuf_addf(s, "|%u %u %u %d", m->effects, m->pauses, m->waits,
		    m->answered);
	return str_hash(strbuf_view(s));
}

static void check(struct model *m)
{
	uint32_t i;

	assert_true(m->effects <= 1);
	for (i = 0; i < m->f.req_count; i++)
		if (m->f.reqs[i].state == FAKE_ANSWER)
			assert_true(m->answered);
}

static void replay(struct model *m, const struct scope *scope,
		   const struct event_path *p)
{
	uint32_t i;

	memset(m, 0, sizeof(*m));
	fake_init(&m->f);
	m->max_arrivals = scope->arrivals;
	m->max_pauses = scope->pauses;
	for (i = 0; i < p->len; i++)
		apply(m, scope->key, p->events[i]);
}

struct search {
	struct tab queue;
	struct idx seen;
	struct model model;
	struct strbuf text;
	const struct scope *scope;
};

/* Appends the new states that are one event away. */
static void expand(struct search *s, const struct event_path *from)
{
	struct event events[64];
	struct event_path next;
	uint32_t n, i;
	void *row;

	replay(&s->model, s->scope, from);
	n = list_events(&s->model, events);
	fake_free(&s->model.f);
	for (i = 0; i < n; i++) {
		uint64_t hash;

		next = *from;
		next.events[next.len++] = events[i];
		replay(&s->model, s->scope, &next);
		check(&s->model);
		hash = hash_state(&s->model, &s->text);
		fake_free(&s->model.f);
		if (idx_get(&s->seen, hash).gen)
			continue;
		idx_put(&s->seen, hash, (struct hnd){1, 1});
		tab_add(&s->queue, &row);
		*(struct event_path *)row = next;
	}
}

/* Guards against a key that runs twice under any order of faults. */
static void test_explore(void **state)
{
	static const struct scope cases[] = {
		{"k", 7, 3, 2},
		{"k", 9, 2, 1},
		{"a.1.k", 7, 3, 2},
		{"a.1.k", 10, 2, 1},
	};
	/* "make sanitize" lowers the depth, since its builds are slow. */
	const char *limit = getenv("CLM_MODEL_DEPTH");
	uint32_t max = limit ? (uint32_t)strtoul(limit, NULL, 10) : MAX_DEPTH;
	size_t i;

	for (i = 0; i < COUNT(cases); i++) {
		uint32_t depth = cases[i].depth < max ? cases[i].depth : max;
		struct search *s = calloc(1, sizeof(*s));
		uint32_t at;

		assert_non_null(s);
		s->scope = &cases[i];
		tab_init(&s->queue, sizeof(struct event_path));
		idx_init(&s->seen);
		tab_add(&s->queue, NULL);
		for (at = 0; at < s->queue.len; at++) {
			struct event_path p =
				*(struct event_path *)tab_at(&s->queue, at);

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
