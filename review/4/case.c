/*
 * The VM that reads the list of servers for its region is partitioned from the
 * store for 5.5 s. While the partition ends, servers are taken away: their rows
 * are removed, and they go on serving. The other VMs, which nothing disturbs,
 * must stop sending them requests within "drain".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "standin.h"

#define VMS 3
#define SERVERS 60
#define SLOTS 6
#define WORK_MS 10
#define PAUSE_US 10000
#define CALLERS_PER_VM 24
/* A quarter of the servers. */
#define REMOVED 15
#define REMOVE_EVERY_S 0.11
#define CUT_AT 3.0
#define CUT_S 5.5
#define END_S 13.5
#define DRAIN_S 2.0

static struct st_server servers[SERVERS];
static struct st_proxy proxies[VMS + 1];
static double acknowledged[SERVERS];
static double begin;

static bool answer(struct st_server *s, struct st_conn *c,
		   const struct st_head *h)
{
	st_work(s, WORK_MS);
	return st_answer(c, h, 200, "");
}

struct caller {
	int vm;
	int number;
};

static void *call(void *arg)
{
	const struct caller *k = arg;
	struct st_conn c = {.fd = -1};
	char id[32];
	int i;

	for (i = 0; st_now() < begin + END_S; i++) {
		if (c.fd < 0 &&
		    st_dial(&c, st_ip(ST_EDGE, k->vm), st_port, 5000)) {
			usleep(PAUSE_US);
			continue;
		}
		snprintf(id, sizeof(id), "%d-%d-%d", k->vm, k->number, i);
		if (!st_send_request(&c, i % 2 ? "GET" : "POST",
				     i % 2 ? "/read/a" : "/book/a", id, 5000,
				     i % 2 ? 0 : 200) ||
		    !st_read_response(&c))
			st_close(&c);
		usleep(PAUSE_US);
	}
	return NULL;
}

int main(void)
{
	static const struct st_route routes[] = {
		{"read", "safe", "register", "1500ms", "4000ms", 2, 2},
		{"book", "unsafe", "register", "1500ms", "4000ms", 2, 1},
	};
	static struct caller callers[VMS * CALLERS_PER_VM];
	pthread_t threads[VMS * CALLERS_PER_VM];
	int i, k, vm, cut_vm = 0, count = 0, late = 0;

	st_init("review/4", 44);
	st_start_store();
	st_put_config(3, routes, 2);
	for (i = 0; i < SERVERS; i++) {
		servers[i] = (struct st_server){
			.n = i + 1, .slots = SLOTS, .answer = answer};
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%02d", i);
		st_start_server(&servers[i]);
		st_put_server(servers[i].id, i + 1, "register", SLOTS, 1);
	}
	for (vm = 1; vm <= VMS; vm++) {
		proxies[vm].n = vm;
		st_start_proxy(&proxies[vm]);
		st_start_edge(vm, true);
	}
	for (vm = 1; vm <= VMS; vm++)
		st_wait_ready(vm);
	usleep(3000000);
	for (vm = 1; vm <= VMS; vm++)
		if (!st_rank(vm))
			cut_vm = vm;
	if (!cut_vm)
		st_exit(2, "no VM reads the list of servers");
	begin = st_now() + 1;
	/* The VM that is cut off gets no requests. */
	for (vm = 1; vm <= VMS; vm++)
		for (k = 0; vm != cut_vm && k < CALLERS_PER_VM; k++) {
			callers[count] = (struct caller){vm, k};
			threads[count] = st_thread(call, &callers[count]);
			count++;
		}
	st_sleep_until(begin + CUT_AT);
	if (st_trouble()) {
		proxies[cut_vm].cut = true;
		st_say("VM %d is partitioned from the store", cut_vm);
	}
	st_sleep_until(begin + CUT_AT + CUT_S);
	proxies[cut_vm].cut = false;
	st_say("end of the partition");
	for (i = 0; i < REMOVED; i++) {
		st_sleep_until(begin + CUT_AT + CUT_S + i * REMOVE_EVERY_S);
		st_remove_row("servers", servers[i].id);
		acknowledged[i] = st_now();
		st_note("the store acknowledged that %s is gone",
			servers[i].id);
	}
	for (i = 0; i < count; i++)
		pthread_join(threads[i], NULL);
	for (i = 0; i < REMOVED; i++) {
		const struct st_server *s = &servers[i];
		size_t n, late_here = 0;
		double last = 0;

		for (n = 0; n < s->arrival_count; n++) {
			double age = s->arrivals[n].at - acknowledged[i];

			if (age > last)
				last = age;
			if (age <= DRAIN_S)
				continue;
			late_here++;
			st_note("request %s reached %s %.3f s after the "
				"acknowledgement",
				s->arrivals[n].id, s->id, age);
		}
		st_note("%s: last request %.3f s after the acknowledgement",
			s->id, last);
		if (late_here)
			st_say("%s: %zu requests later than %.1f s, the last "
			       "after %.3f s",
			       s->id, late_here, DRAIN_S, last);
		late += (int)late_here;
	}
	st_say("%d requests reached servers later than %.1f s after the store "
	       "had acknowledged that they are gone",
	       late, DRAIN_S);
	if (late)
		st_exit(1, "DRAIN broken");
	st_exit(0, "DRAIN held");
}
