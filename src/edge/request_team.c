#include "logs.h"
#include "metrics.h"
#include "request_internal.h"
#include "team_key.h"

/* A request that has waited longer since it was counted for its team's quota
 * is checked again when it is sent: what the quota allowed over a long time
 * must not reach servers at once. */
#define QUOTA_RECHECK_NS (500 * NS_PER_MS)

void req_give_quota_back(struct edge *e, struct req_row *r)
{
	if (r->quota_ns && !r->may_have_run && !r->may_be_running)
		quota_give_back(&e->quota, r->team, e->ev.now_ns);
	r->quota_ns = 0;
}

bool req_guards_team_fields(const struct edge *e)
{
	return !edge_has_state(e) || e->conf->has_teams;
}

/* Two keys could be those of two teams: neither counts. */
struct tkey_credential req_read_credential(const struct edge *e,
					   const struct hreq *head)
{
	if (hreq_count(head, e->headers->authorization) != 1)
		return (struct tkey_credential){.present = false};
	return tkey_read(hreq_header(head, e->headers->authorization));
}

void req_set_team(struct edge *e, struct req_row *r,
		  const struct conf_team *team)
{
	if (!team)
		return;
	r->team = team->key;
	r->team_priority = team->priority;
	if (e->headers->team.len)
		strbuf_addf(&r->head, "%.*s: %.*s\r\n",
			    STR_FMT(e->headers->team), STR_FMT(team->name));
}

bool req_identify_team(struct edge *e, struct req_row *r,
		       const struct conf_route *route)
{
	const struct conf_team *team = NULL;
	enum tkey_result key;

	if (!e->conf->has_teams) {
		if (!r->has_team_fields)
			return true;
		/* They belong to the request here, and were not kept. */
		req_refuse(e, r, 503, "credentials not kept");
		return false;
	}
	key = tkey_check(e->conf, route, &r->credential, &team);
	if (key == TKEY_ALLOWED) {
		req_set_team(e, r, team);
		return true;
	}
	ctr_add(CTR_REFUSED_KEY, 1);
	req_refuse(e, r, 401, tkey_reason(key));
	return false;
}

static void log_quota_refusal(const struct edge *e, const struct req_row *r,
			      const struct quota_decision *d)
{
	const struct conf_team *team = conf_find_team(e->conf, r->team);

	logs_event(
		LOGS_INFO, "quota",
		(struct logs_field[]){
			LOGS_STR("request", strbuf_view(&r->id)),
			LOGS_STR("team", team ? team->name : STR_NONE),
			LOGS_INT("fill", (int64_t)d->fill),
			LOGS_INT("share_permille", (int64_t)(d->share * 1000)),
			LOGS_INT("demand_per_s", (int64_t)d->demand_per_s),
		},
		5);
}

bool req_take_quota(struct edge *e, struct req_row *r)
{
	struct quota_decision d;

	if (!r->team || r->quota_ns)
		return true;
	d = quota_take(&e->quota, r->team, e->ev.now_ns);
	if (d.allowed) {
		r->quota_ns = e->ev.now_ns;
		return true;
	}
	log_quota_refusal(e, r, &d);
	ctr_add(CTR_REFUSED_QUOTA, 1);
	r->retry_after_ns = d.retry_after_ns;
	req_refuse(e, r, 429, "beyond the quota");
	return false;
}

bool req_recheck_quota(struct edge *e, struct req_row *r)
{
	if (!r->quota_ns || r->sends ||
	    e->ev.now_ns - r->quota_ns < QUOTA_RECHECK_NS)
		return true;
	if (quota_may_still_run(&e->quota, r->team, e->ev.now_ns)) {
		r->quota_ns = e->ev.now_ns;
		return true;
	}
	ctr_add(CTR_REFUSED_QUOTA, 1);
	r->retry_after_ns = NS_PER_S;
	req_refuse(e, r, 429, "beyond the quota");
	return false;
}

/* Counts the slot that the request gets for its team. */
void req_charge_team(struct edge *e, struct req_row *r)
{
	int64_t work_ns = req_expected_work(e, r).mean_ns;

	fairq_advance(&e->fair, r->service,
		      fairq_start(&e->fair, r->service, r->team));
	fairq_charge(&e->fair, r->service, r->team, work_ns);
	if (r->queued_ns)
		ctr_observe_queue_wait(r->priority,
				       e->ev.now_ns - r->queued_ns);
	r->queued_ns = 0;
}
