#include "server_signals.h"

#include "backend_server.h"
#include "edge_messages.h"
#include "logs.h"

/* Digits of a fraction that fit in nanoseconds. */
#define MAX_FRACTION_DIGITS 9

int64_t sig_parse_retry_after(struct str value)
{
	struct str fraction = str_trim(value);
	struct str whole = str_split(&fraction, '.');
	bool has_point = whole.len < str_trim(value).len;
	int64_t unit = NS_PER_S, ns = 0;
	uint64_t seconds;
	size_t i;

	if (!str_is_digits(whole) || (has_point && !str_is_digits(fraction)))
		return -1;
	/* A number that does not fit is above the maximum as well. */
	if (!str_parse_u64(whole, &seconds) ||
	    seconds >= SIG_MAX_PAUSE_NS / NS_PER_S)
		return SIG_MAX_PAUSE_NS;
	for (i = 0; i < fraction.len && i < MAX_FRACTION_DIGITS; i++) {
		unit /= 10;
		ns += (fraction.ptr[i] - '0') * unit;
	}
	return (int64_t)seconds * NS_PER_S + ns;
}

static void apply_retry_after(struct edge *e, struct srv_row *s,
			      struct str value)
{
	int64_t pause = sig_parse_retry_after(value);

	if (pause > 0)
		srv_pause(e, s, e->ev.now_ns + pause);
	if (pause >= 0)
		return;
	logs_event(LOGS_WARNING, "bad_retry_after",
		   (struct logs_field[]){
			   LOGS_STR("server", str_from(s->id)),
			   LOGS_STR("field", value),
		   },
		   2);
}

void sig_on_response(struct edge *e, struct srv_row *s, const struct rsp *rsp)
{
	struct str leaving = rsp_get(rsp, e->headers->server_leaving);

	if (str_eq(str_trim(leaving), STR("1")) &&
	    srv_set_leaving(e, s, s->start_time_ms))
		emsg_send_leaving(e, s);
	if (rsp->status == 503 && rsp_get(rsp, STR("retry-after")).ptr)
		apply_retry_after(e, s, rsp_get(rsp, STR("retry-after")));
}
