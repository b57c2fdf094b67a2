/*
 * Measures the time to choose a backend server, by the number of servers and
 * services. This is a benchmark, not a test; its results go into
 * docs/CAPACITY.md.
 *
 *   make build/tests/bench_edge_load_balancing
 *   build/tests/bench_edge_load_balancing
 */
#include <stdio.h>

#include "edge_fixture.h"
#include "edge_load_balancing.h"

/* With more servers than this, fewer choices are measured. */
#define MANY_SERVERS 10000
#define CHOICES 2000
#define CHOICES_MANY_SERVERS 20

/* The servers are distributed over the services; all requests go to the same
 * service. */
static void measure(int servers, int services)
{
	static const char *const zones[] = {"z0", "z1", "z2"};
	static struct edge e;
	struct req_row r = fix_request(CONF_UNSAFE);
	int i, choices = servers > MANY_SERVERS ? CHOICES_MANY_SERVERS
						: CHOICES;
	int64_t begin;

	fix_init(&e);
	for (i = 0; i < servers; i++) {
		char id[32];
		struct srv_report report;

		snprintf(id, sizeof(id), "i-%d", i);
		report = fix_report(id, zones[i % 3], 1);
		report.service += (uint64_t)(i % services);
		srv_update(&e, &report);
	}
	begin = tmr_now();
	for (i = 0; i < choices; i++)
		pick_server(&e, &r, UINT32_MAX);
	printf("%d servers, %d services: %.2f us a choice\n", servers, services,
	       (double)(tmr_now() - begin) / choices / 1000);
	fix_free(&e);
}

int main(void)
{
	static const int sizes[][2] = {
		{36, 1},     {448, 1},	    {3000, 1},	     {180000, 1},
		{3000, 183}, {18000, 1100}, {180000, 11000},
	};
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(sizes[i][0], sizes[i][1]);
	return 0;
}
