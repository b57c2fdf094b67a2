#include "memory_account.h"

/* An address cannot be 0 as a key of the index. */
#define ADDRESS_KEY(address) ((uint64_t)(address) + 1)

void macc_init(struct macc *m)
{
	*m = (struct macc){0};
	tab_init(&m->holders, sizeof(struct macc_holder));
	tab_init(&m->addresses, sizeof(struct macc_address));
	idx_init(&m->address_by_key);
}

void macc_free(struct macc *m)
{
	tab_free(&m->holders);
	tab_free(&m->addresses);
	idx_free(&m->address_by_key);
}

static uint64_t pause_bytes(const struct macc *m)
{
	return m->limit / 4 * 3;
}

static void check_pressure(struct macc *m, int64_t now_ns)
{
	if (!m->limit || m->held <= pause_bytes(m))
		m->pressure_since_ns = 0;
	else if (!m->pressure_since_ns)
		m->pressure_since_ns = now_ns;
}

void macc_set_limit(struct macc *m, uint64_t limit, int64_t now_ns)
{
	m->limit = limit;
	m->goal = 0;
	check_pressure(m, now_ns);
}

struct hnd macc_add(struct macc *m, struct hnd conn, uint32_t address,
		    int64_t now_ns)
{
	uint64_t key = ADDRESS_KEY(address);
	struct hnd at = idx_get(&m->address_by_key, key);
	struct macc_address *a = tab_get(&m->addresses, at);
	struct macc_holder *holder;
	struct hnd h;
	void *row;

	if (!a) {
		at = tab_add(&m->addresses, &row);
		idx_put(&m->address_by_key, key, at);
		a = row;
		a->key = key;
	}
	a->holders++;
	h = tab_add(&m->holders, &row);
	holder = row;
	holder->conn = conn;
	holder->address = at;
	holder->usage.state = MACC_IDLE;
	holder->progress_ns = now_ns;
	return h;
}

static void set_bytes(struct macc *m, struct macc_holder *holder,
		      uint64_t bytes, int64_t now_ns)
{
	struct macc_address *a = tab_get(&m->addresses, holder->address);

	m->held += bytes - holder->usage.bytes;
	a->bytes += bytes - holder->usage.bytes;
	holder->usage.bytes = bytes;
	check_pressure(m, now_ns);
}

void macc_remove(struct macc *m, struct hnd h, int64_t now_ns)
{
	struct macc_holder *holder = tab_get(&m->holders, h);
	struct macc_address *a;
	struct hnd at;

	if (!holder)
		return;
	set_bytes(m, holder, 0, now_ns);
	at = holder->address;
	tab_del(&m->holders, h);
	a = tab_get(&m->addresses, at);
	if (--a->holders)
		return;
	idx_del(&m->address_by_key, a->key);
	tab_del(&m->addresses, at);
}

void macc_update(struct macc *m, struct hnd h, const struct macc_usage *usage,
		 int64_t now_ns)
{
	struct macc_holder *holder = tab_get(&m->holders, h);

	if (!holder)
		return;
	if (usage->progress != holder->usage.progress ||
	    usage->state != holder->usage.state ||
	    usage->paused != holder->usage.paused)
		holder->progress_ns = now_ns;
	set_bytes(m, holder, usage->bytes, now_ns);
	holder->usage = *usage;
}

bool macc_must_pause(const struct macc *m, struct hnd h)
{
	const struct macc_holder *holder = tab_get(&m->holders, h);
	const struct macc_address *a;

	if (!holder || !m->pressure_since_ns ||
	    holder->usage.bytes <= MACC_SMALL_BYTES)
		return false;
	a = tab_get(&m->addresses, holder->address);
	return a->bytes > m->limit / 4 || m->held > m->limit / 8 * 7;
}

bool macc_is_stalled(const struct macc_holder *h, int64_t now_ns,
		     int64_t limit_ns)
{
	return h->usage.state == MACC_BODY && !h->usage.paused &&
	       now_ns - h->progress_ns >= limit_ns;
}

/* Order in which holders are given up: by the first of these that differs, the
 * larger value first. */
struct rank {
	uint64_t stalled;
	uint64_t address_bytes;
	uint64_t large;
	uint64_t state;
	uint64_t bytes;
};

static struct rank rank_of(const struct macc *m, const struct macc_holder *h,
			   int64_t now_ns)
{
	const struct macc_address *a = tab_get(&m->addresses, h->address);
	bool large = h->usage.bytes > MACC_SMALL_BYTES;

	return (struct rank){
		.stalled = large && macc_is_stalled(h, now_ns, MACC_STALLED_NS),
		.address_bytes = a->bytes,
		.large = large,
		.state = (uint64_t)(MACC_SENT - h->usage.state),
		.bytes = h->usage.bytes,
	};
}

static bool is_before(const struct rank *a, const struct rank *b)
{
	if (a->stalled != b->stalled)
		return a->stalled > b->stalled;
	if (a->address_bytes != b->address_bytes)
		return a->address_bytes > b->address_bytes;
	if (a->large != b->large)
		return a->large > b->large;
	if (a->state != b->state)
		return a->state > b->state;
	return a->bytes > b->bytes;
}

static void set_goal(struct macc *m, int64_t now_ns)
{
	if (m->held <= m->goal)
		m->goal = 0;
	if (!m->limit || !m->pressure_since_ns)
		return;
	if (now_ns - m->pressure_since_ns >= MACC_PRESSURE_NS)
		m->goal = m->limit / 2;
	else if (!m->goal && m->held > m->limit)
		m->goal = pause_bytes(m);
}

struct hnd macc_choose(struct macc *m, int64_t now_ns)
{
	struct hnd best = HND_NONE;
	struct rank best_rank = {0};
	uint32_t i;

	set_goal(m, now_ns);
	if (!m->goal)
		return HND_NONE;
	for (i = 0; i < m->holders.len; i++) {
		const struct macc_holder *h = tab_at(&m->holders, i);
		struct rank rank;

		if (!h->usage.bytes)
			continue;
		rank = rank_of(m, h, now_ns);
		if (hnd_eq(best, HND_NONE) || is_before(&rank, &best_rank)) {
			best = h->conn;
			best_rank = rank;
		}
	}
	return best;
}

/* 0 for a connection that is not closed for a new one; larger values first. */
static int room_rank(const struct macc_holder *h, int64_t now_ns)
{
	int64_t age_ns = now_ns - h->progress_ns;

	switch (h->usage.state) {
	case MACC_IDLE:
		return age_ns >= MACC_FRESH_NS ? 2 : 1;
	case MACC_UNSENT:
		return 1;
	case MACC_BODY:
	case MACC_RESPONSE:
		return age_ns >= MACC_STALLED_NS ? 2 : 0;
	case MACC_SENT:
	default:
		return 0;
	}
}

struct hnd macc_choose_for_room(const struct macc *m, int64_t now_ns)
{
	struct hnd best = HND_NONE;
	uint32_t most = 0, i;
	int64_t oldest = 0;
	int best_rank = 0;

	for (i = 0; i < m->holders.len; i++) {
		const struct macc_holder *h = tab_at(&m->holders, i);
		const struct macc_address *a =
			tab_get(&m->addresses, h->address);
		int rank = room_rank(h, now_ns);

		if (!rank || h->usage.no_descriptor || a->holders < most)
			continue;
		if (a->holders == most &&
		    (rank < best_rank ||
		     (rank == best_rank && h->progress_ns >= oldest)))
			continue;
		best = h->conn;
		best_rank = rank;
		most = a->holders;
		oldest = h->progress_ns;
	}
	return best;
}

int64_t macc_next_due(const struct macc *m)
{
	if (!m->pressure_since_ns)
		return INT64_MAX;
	return m->pressure_since_ns + MACC_PRESSURE_NS;
}
