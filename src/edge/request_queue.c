#include <stdlib.h>

#include "backend_server.h"
#include "logs.h"
#include "request_internal.h"

/* Capacity of the array of waiting requests when it is first used. */
#define FIRST_WAITING_CAP 32

bool req_others_wait(const struct edge *e, const struct req_row *r)
{
	uint32_t i;

	for (i = 0; i < e->requests.len; i++) {
		const struct req_row *other = tab_at(&e->requests, i);

		if (other->state == REQ_QUEUED && other != r &&
		    other->service == r->service)
			return true;
	}
	return false;
}

void req_queue_wake(struct edge *e, uint64_t service)
{
	edge_service(e, service)->queue_wake = true;
	e->queue_wake = true;
}

void req_queue_count(const struct edge *e,
		     uint32_t waiting[CTR_QUEUE_PRIORITIES])
{
	uint32_t i, last = CTR_QUEUE_PRIORITIES - 1;

	for (i = 0; i <= last; i++)
		waiting[i] = 0;
	for (i = 0; i < e->requests.len; i++) {
		const struct req_row *r = tab_at(&e->requests, i);

		if (r->state == REQ_QUEUED)
			waiting[r->priority < last ? r->priority : last]++;
	}
}

static struct ovlq_entry make_entry(struct edge *e, struct hnd h,
				    const struct req_row *r)
{
	struct work_time work = req_expected_work(e, r);

	return (struct ovlq_entry){
		.request = h,
		.team_priority = r->team_priority,
		.priority = r->priority,
		.team = r->team,
		.team_tag = fairq_start(&e->fair, r->service, r->team),
		.objective_ns = req_objective_time(r),
		.expires_ns = r->expires_ns,
		.work_ns = work.mean_ns,
		.min_work_ns = work.mean_ns - work.deviation_ns,
	};
}

/* Collects the requests that wait for the service in e->waiting. */
static uint32_t collect(struct edge *e, uint64_t service)
{
	uint32_t i, count = 0;

	for (i = 0; i < e->requests.len; i++) {
		const struct req_row *r = tab_at(&e->requests, i);

		if (r->state != REQ_QUEUED || r->service != service)
			continue;
		if (count == e->waiting_cap) {
			e->waiting_cap = count ? 2 * count : FIRST_WAITING_CAP;
			e->waiting =
				realloc(e->waiting,
					e->waiting_cap * sizeof(*e->waiting));
			if (!e->waiting)
				abort();
		}
		e->waiting[count++] =
			make_entry(e, tab_handle(&e->requests, i), r);
	}
	return count;
}

/*
 * Slots of the service that this VM's requests may be expected to get: an equal
 * part of those in its region, or those that its requests hold if these are
 * more.
 */
static uint32_t expected_slots(struct edge *e, uint64_t service)
{
	uint32_t slots = 0, in_flight = 0, vms = 0, i;
	const struct srv_row *s;
	struct hnd h;

	for (s = srv_first(e, service, &h); s; s = srv_next(e, s, &h)) {
		in_flight += s->in_flight;
		if (s->state == SRV_READY && s->region == e->region &&
		    !s->ejected && !srv_is_paused(e, s))
			slots += s->slots;
	}
	for (i = 0; i < e->vms.len; i++) {
		const struct vm_row *vm = tab_at(&e->vms, i);

		vms += vm->region == e->region && vm->state == VM_ACTIVE;
	}
	slots /= vms ? vms : 1;
	return slots > in_flight ? slots : in_flight;
}

/* Those of the slots that more urgent requests of this VM hold. */
static uint32_t slots_of_more_urgent(const struct edge *e,
				     const struct req_row *r)
{
	uint32_t held = 0, i;

	for (i = 0; i < e->requests.len; i++) {
		const struct req_row *other = tab_at(&e->requests, i);

		if (other->service != r->service ||
		    other->state < REQ_CONNECTING || other->state == REQ_DONE)
			continue;
		held += other->team_priority < r->team_priority ||
			(other->team_priority == r->team_priority &&
			 other->priority < r->priority);
	}
	return held;
}

static void log_refusal(const struct edge *e, const struct req_row *r,
			const struct ovlq_entry *entry)
{
	int64_t now = e->ev.now_ns;

	logs_event(LOGS_INFO, "overload",
		   (struct logs_field[]){
			   LOGS_STR("request", strbuf_view(&r->id)),
			   LOGS_STR("why", str_from(ovlq_verdict_name(
						   entry->verdict))),
			   LOGS_INT("place", entry->place),
			   LOGS_INT("slots", entry->slots),
			   LOGS_INT("wait_ms", entry->wait_ns / NS_PER_MS),
			   LOGS_INT("work_ms", entry->work_ns / NS_PER_MS),
			   LOGS_INT("least_work_ms",
				    entry->min_work_ns / NS_PER_MS),
			   LOGS_INT("objective_ms",
				    (entry->objective_ns - now) / NS_PER_MS),
			   LOGS_INT("left_ms",
				    (entry->expires_ns - now) / NS_PER_MS),
			   LOGS_INT("priority", r->priority),
			   LOGS_INT("team_priority", r->team_priority),
		   },
		   11);
}

/* Refuses those of the entries that cannot be served in time. */
static void refuse_excess(struct edge *e, uint32_t count, uint32_t slots)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct ovlq_entry *entry = &e->waiting[i];
		const struct req_row *r = req_get(e, entry->request);
		uint32_t held = r ? slots_of_more_urgent(e, r) : 0;

		entry->slots = slots > held ? slots - held : 1;
	}
	ovlq_judge(e->waiting, count, e->ev.now_ns);
	for (i = 0; i < count; i++) {
		const struct ovlq_entry *entry = &e->waiting[i];
		struct req_row *r = req_get(e, entry->request);

		/* The end of another one may have closed its connection. */
		if (!r || entry->verdict == OVLQ_KEEP)
			continue;
		log_refusal(e, r, entry);
		r->queue_wait_ns = entry->wait_ns;
		req_give_up(e, r, ovlq_verdict_name(entry->verdict));
	}
}

/* Sends the requests that wait for the service in their order, as far as there
 * are slots, and refuses those of the rest that cannot be served in time. */
static void serve_queue(struct edge *e, uint64_t service)
{
	uint32_t count = collect(e, service), kept = 0, i;

	ovlq_order(e->waiting, count, e->ev.now_ns);
	for (i = 0; i < count; i++) {
		struct hnd h = e->waiting[i].request;
		const struct req_row *r = req_get(e, h);

		if (!r || r->state != REQ_QUEUED)
			continue;
		req_try_send(e, h);
		r = req_get(e, h);
		if (r && r->state == REQ_QUEUED && r->awaits_slot)
			e->waiting[kept++] = e->waiting[i];
	}
	if (kept)
		refuse_excess(e, kept, expected_slots(e, service));
}

void req_queue_tick(struct edge *e)
{
	uint32_t i;

	if (!e->queue_wake)
		return;
	e->queue_wake = false;
	for (i = 0; i < e->services.len; i++) {
		struct svc_row *svc = tab_at(&e->services, i);

		if (!svc->queue_wake)
			continue;
		svc->queue_wake = false;
		serve_queue(e, svc->key);
	}
}
