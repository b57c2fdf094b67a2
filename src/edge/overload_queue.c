#include "overload_queue.h"

static bool can_meet_objective(const struct ovlq_entry *e, int64_t now_ns)
{
	return now_ns + e->work_ns <= e->objective_ns;
}

/* True when a gets a slot before b. */
static bool is_before(const struct ovlq_entry *a, const struct ovlq_entry *b,
		      int64_t now_ns)
{
	bool a_in_time = can_meet_objective(a, now_ns);

	if (a->team_priority != b->team_priority)
		return a->team_priority < b->team_priority;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (a_in_time != can_meet_objective(b, now_ns))
		return a_in_time;
	if (a->team_tag != b->team_tag)
		return a->team_tag < b->team_tag;
	return a->objective_ns - a->work_ns < b->objective_ns - b->work_ns;
}

/* The team of the entry that got the next place uses its slot before the
 * others of that team do. */
static void charge_team(struct ovlq_entry *entries, size_t count,
			const struct ovlq_entry *placed)
{
	size_t i;

	for (i = 0; i < count; i++)
		if (entries[i].team == placed->team)
			entries[i].team_tag += placed->work_ns;
}

void ovlq_order(struct ovlq_entry *entries, size_t count, int64_t now_ns)
{
	size_t i, k;

	/* Selection, since each place changes the tags of the rest; the number
	 * that waits is bounded by ovlq_judge(). */
	for (i = 0; i < count; i++) {
		struct ovlq_entry first = entries[i];
		size_t at = i;

		for (k = i + 1; k < count; k++) {
			if (!is_before(&entries[k], &first, now_ns))
				continue;
			first = entries[k];
			at = k;
		}
		/* Moves those before it by one, so that equal entries keep
		 * their order. */
		for (; at > i; at--)
			entries[at] = entries[at - 1];
		entries[i] = first;
		charge_team(entries + i + 1, count - i - 1, &first);
	}
}

void ovlq_judge(struct ovlq_entry *entries, size_t count, int64_t now_ns)
{
	int64_t work_ns = 0;
	uint32_t place = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		struct ovlq_entry *e = &entries[i];

		e->place = place;
		e->wait_ns = work_ns / (e->slots ? e->slots : 1);
		if (now_ns + e->wait_ns + e->min_work_ns > e->expires_ns)
			e->verdict = OVLQ_NO_TIME;
		else if (now_ns + e->wait_ns >= e->objective_ns)
			e->verdict = OVLQ_TOO_MANY;
		else
			e->verdict = OVLQ_KEEP;
		if (e->verdict != OVLQ_KEEP)
			continue;
		place++;
		work_ns += e->work_ns;
	}
}

const char *ovlq_verdict_name(enum ovlq_verdict verdict)
{
	switch (verdict) {
	case OVLQ_NO_TIME:
		return "no time left for its work";
	case OVLQ_TOO_MANY:
		return "too many requests before it";
	case OVLQ_KEEP:
	default:
		return "waits";
	}
}
