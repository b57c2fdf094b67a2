/*
 * A backend server writes its row; the store loses the answer and performs the
 * write 5.1 s later. Meanwhile the server has reported that it drains, and has
 * said so in its responses. Checks that no VM that has passed on such a response
 * sends the server a request that a caller sent more than 2 s later. With
 * TROUBLE=0 the store answers the write at once and performs nothing late.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "kit.h"

#define VMS 4
#define DRAIN_MS 2000
/* The store loses the answer to a write, and performs it that much later: 1 to
 * 6 s are allowed. */
#define LOST_MS 10000
#define LATE_MS 5100
/* The server reports draining, and ends 3.8 s after the store has accepted it. */
#define DRAINING_MS 12000
#define END_MS 15800
#define CALLS_END_MS 18000
/* Requests per second: two servers of 6 slots with 430 ms of work run 28. */
#define RATE 30
#define MAX_CALLS 1000

static struct kit_server servers[3] = {
	{.n = 1, .id = "i-1", .service = "svc", .zone = "z0", .slots = 6,
	 .work_ms = 430},
	{.n = 2, .id = "i-2", .service = "svc", .zone = "z0", .slots = 6,
	 .work_ms = 430},
	{.n = 3, .id = "i-3", .service = "svc", .zone = "z1", .slots = 6,
	 .work_ms = 430},
};

static struct call {
	struct kit_call c;
	char id[32];
	int64_t ran_at_leaving_ms;
	bool done;
} calls[MAX_CALLS];

static void on_run(struct kit_server *s, const char *id, const char *path)
{
	(void)path;
	if (s == &servers[0])
		calls[atoi(id + 1)].ran_at_leaving_ms = kit_ms();
}

static void *call_thread(void *arg)
{
	struct call *call = arg;

	kit_call(&call->c);
	call->done = true;
	kit_record("%s %s by e%d, sent at %.3f: %d%s %s", call->id,
		   call->c.path, call->c.vm, (double)call->c.sent_ms / 1000,
		   call->c.status, call->c.leaving ? " Server-Leaving" : "",
		   call->c.got);
	return NULL;
}

static void put_config(void)
{
	static const char rule[] =
		"{\"name\":\"r-%s\",\"kind\":\"%s\",\"slo\":\"1500ms\","
		"\"priority\":1,\"match\":{\"prefix\":\"/%s/\"},\"action\":{"
		"\"service\":\"svc\",\"timeout\":\"8000ms\",\"attempts\":2}}";
	char rules[2][512], config[2048];

	snprintf(rules[0], sizeof(rules[0]), rule, "safe", "safe", "safe");
	snprintf(rules[1], sizeof(rules[1]), rule, "unsafe", "unsafe",
		 "unsafe");
	snprintf(config, sizeof(config),
		 "{\"version\":\"r3\",\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":67108864,\"header_timeout\":\"3000ms\","
		 "\"idle_timeout\":\"15000ms\"},\"listeners\":[{\"host\":"
		 "\"h.example\",\"rules\":[%s,%s]}],\"clusters\":[{\"name\":"
		 "\"svc\",\"health_path\":\"/healthz\",\"max_conns\":390,"
		 "\"protocol\":\"h1\",\"tls\":false}]}",
		 rules[0], rules[1]);
	if (!kit_put("op", "config", config))
		kit_fail("the store refuses the configuration");
}

/* The write whose answer is lost. Returns the row that is written late. */
static char *lose_beat(struct kit_server *s)
{
	static char row[1024];

	s->seq++;
	kit_server_row(s, "ready", row, sizeof(row));
	kit_record("%s writes its row: ready, seq %llu: the answer is lost",
		   s->id, (unsigned long long)s->seq);
	return row;
}

/* Sends requests at the rate, and lets the server leave. */
static int run_day(void)
{
	int64_t next = kit_ms();
	char *lost = NULL;
	bool late = false, draining = false, ended = false;
	int n = 0;

	while (kit_ms() < CALLS_END_MS && n < MAX_CALLS) {
		struct kit_server *s = &servers[0];
		struct call *call = &calls[n];
		pthread_t t;

		if (!lost && kit_ms() >= LOST_MS) {
			s->next_beat_ms = kit_ms() + 1500;
			if (kit_trouble())
				lost = lose_beat(s);
			else
				kit_beat(s);
			if (!kit_trouble())
				lost = "";
		}
		if (!draining && kit_ms() >= DRAINING_MS) {
			draining = true;
			s->state = "draining";
			s->leaving = true;
			s->next_beat_ms = kit_ms() + 1500;
			kit_beat(s);
		}
		if (kit_trouble() && !late &&
		    kit_ms() >= LOST_MS + LATE_MS) {
			late = true;
			kit_record("the store performs the lost write: %s",
				   kit_put("servers", s->id, lost) ? "done"
								   : "failed");
		}
		if (!ended && kit_ms() >= END_MS) {
			ended = true;
			kit_end_server(s);
			kit_remove("servers", s->id);
		}
		if (kit_ms() < next) {
			kit_sleep(2);
			continue;
		}
		next += 1000 / RATE;
		snprintf(call->id, sizeof(call->id), "q%d", n);
		call->c = (struct kit_call){
			.vm = 1 + n % VMS,
			.id = call->id,
			.method = n / VMS % 4 ? "POST" : "GET",
			.path = n / VMS % 4 ? "/unsafe/x" : "/safe/x",
			.deadline_ms = 8000,
		};
		pthread_create(&t, NULL, call_thread, call);
		pthread_detach(t);
		n++;
	}
	return n;
}

static int judge(int count)
{
	int64_t passed[VMS + 1] = {0};
	int broken = 0, lost = 0, i;

	for (i = 0; i < count; i++) {
		const struct kit_call *c = &calls[i].c;

		if (calls[i].done && c->status && c->leaving &&
		    (!passed[c->vm] || c->done_ms < passed[c->vm]))
			passed[c->vm] = c->done_ms;
	}
	for (i = 1; i <= VMS; i++)
		kit_record("e%d passed on Server-Leaving first at %.3f", i,
			   (double)passed[i] / 1000);
	for (i = 0; i < count; i++) {
		const struct kit_call *c = &calls[i].c;
		bool late = calls[i].ran_at_leaving_ms && passed[c->vm] &&
			    c->sent_ms > passed[c->vm] + DRAIN_MS;

		if (!late)
			continue;
		broken++;
		lost += c->status / 100 != 2;
		kit_record("BROKEN DRAIN: %s %s, sent to e%d at %.3f, runs at "
			   "the leaving server at %.3f; the caller gets %d",
			   calls[i].id, c->path, c->vm,
			   (double)c->sent_ms / 1000,
			   (double)calls[i].ran_at_leaving_ms / 1000,
			   c->status);
	}
	kit_record("%d requests at the leaving server too late, %d of them "
		   "without its response",
		   broken, lost);
	return broken ? KIT_BROKEN : KIT_HELD;
}

int main(void)
{
	int i, count, result;

	kit_start("review/8");
	put_config();
	for (i = 0; i < 3; i++) {
		servers[i].born = 1765080000000 + i;
		servers[i].on_run = on_run;
		kit_start_server(&servers[i]);
	}
	for (i = 1; i <= VMS; i++)
		kit_start_vm(i, i % 2 ? "z0" : "z1", true);
	for (i = 1; i <= VMS; i++)
		kit_wait_ready(i);
	kit_sleep_until(5000);
	count = run_day();
	kit_sleep(8500);
	result = judge(count);
	kit_stop();
	return result;
}
