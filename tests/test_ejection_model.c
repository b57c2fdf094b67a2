#include "ejection_model.h"

static bool run_action(struct model *m, uint32_t action, uint32_t arg)
{
	uint32_t a;

	if (!actions[action].run(m, arg))
		return false;
	for (a = 0; a < ALLOCATORS; a++)
		tick(m, a);
	return true;
}

/* Hash set of visited states, with open addressing. */
struct visited {
	uint64_t *slots;
	uint32_t cap;
	uint32_t len;
};

static bool add_visited(struct visited *visited, uint64_t hash)
{
	uint32_t i = (uint32_t)hash & (visited->cap - 1);

	while (visited->slots[i]) {
		if (visited->slots[i] == hash)
			return false;
		i = (i + 1) & (visited->cap - 1);
	}
	visited->slots[i] = hash;
	visited->len++;
	return true;
}

static uint64_t hash_state(const struct model *m)
{
	return str_hash((struct str){(const char *)&m->s, sizeof(m->s)}) | 1;
}

static void print_trace(const struct trace *n)
{
	uint32_t i;

	for (i = 0; i < n->len; i++)
		printf(" %s(%u)", actions[n->steps[i].action].name,
		       n->steps[i].arg);
	printf("\n");
}

struct search {
	struct visited visited;
	struct trace *queue;
	uint32_t head;
	uint32_t tail;
	uint32_t violations;
};

static void explore_step(struct search *x, struct model *m,
			 const struct trace *from, const struct state *at,
			 struct step step)
{
	struct trace *n = &x->queue[x->tail];

	load(m, at);
	m->violations = 0;
	if (!run_action(m, step.action, step.arg))
		return;
	check_state(m);
	save(m);
	if (!add_visited(&x->visited, hash_state(m)))
		return;
	*n = *from;
	n->steps[n->len++] = step;
	if (m->violations && !x->violations++)
		print_trace(n);
	x->tail++;
}

static void expand(struct search *x, struct model *m, const struct state *first,
		   const struct trace *from)
{
	struct state at;
	uint32_t i, arg;

	load(m, first);
	for (i = 0; i < from->len; i++)
		run_action(m, from->steps[i].action, from->steps[i].arg);
	save(m);
	at = m->s;
	for (i = 0; i < COUNT(actions); i++)
		for (arg = 0; arg < actions[i].args; arg++)
			if (x->tail < m->conf->max_states)
				explore_step(x, m, from, &at,
					     (struct step){(uint8_t)i,
							   (uint8_t)arg});
}

/*
 * Guards against ejections below the floor in any interleaving of grants,
 * acknowledgements, lost messages, drains, bundles and takeovers.
 */
static void test_floor(void **state)
{
	static const struct config configs[] = {
		{"two regions",
		 {0, 0, 1, 1},
		 {0, 1},
		 {0, 1},
		 false,
		 2,
		 12,
		 400000},
		{"two holders",
		 {0, 0, 0, 0},
		 {0, 0},
		 {0, 0},
		 false,
		 2,
		 12,
		 400000},
		{"successive allocators",
		 {0, 0, 0, 0},
		 {0, 0},
		 {0, 0},
		 true,
		 2,
		 12,
		 400000},
	};
	static struct model m;
	struct state first;
	size_t i;
	uint32_t a;

	for (i = 0; i < COUNT(configs); i++) {
		struct search x = {0};
		struct trace from = {0};

		x.visited.cap = 1U << 20;
		x.visited.slots = calloc(x.visited.cap, sizeof(uint64_t));
		x.queue = calloc(configs[i].max_states + 1, sizeof(*x.queue));
		assert_non_null(x.visited.slots);
		assert_non_null(x.queue);
		start(&m, &configs[i]);
		first = m.s;
		add_visited(&x.visited, hash_state(&m));
		x.tail = 1;
		for (; x.head < x.tail; x.head++) {
			from = x.queue[x.head];
			if (from.len >= configs[i].depth ||
			    x.tail >= configs[i].max_states)
				break;
			expand(&x, &m, &first, &from);
		}
		printf("%s: %u states, all to depth %u, %u ejections, "
		       "%u violations\n",
		       configs[i].name, x.visited.len, from.len, m.ejections,
		       x.violations);
		assert_true(m.ejections > 0);
		assert_int_equal(x.violations, 0);
		for (a = 0; a < ALLOCATORS; a++)
			core_free(&m.cores[a]);
		free(x.visited.slots);
		free(x.queue);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {cmocka_unit_test(test_floor)};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
