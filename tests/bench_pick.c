/*
 * Time of one choice of a backend server, by the number of servers that are
 * listed. Not a test; docs/CAPACITY.md gives its figures.
 *
 *   make build/tests/bench_pick && build/tests/bench_pick
 */
#include <stdio.h>

#include "edge_fixture.h"
#include "pick.h"

#define LARGE 10000
#define CHOICES 2000
#define CHOICES_LARGE 20

static void measure(int servers)
{
	static const char *const zones[] = {"z0", "z1", "z2"};
	static struct edge e;
	struct req_row r = fix_request(CONF_UNSAFE);
	int i, choices = servers > LARGE ? CHOICES_LARGE : CHOICES;
	int64_t begin;

	fix_init(&e);
	for (i = 0; i < servers; i++) {
		char id[32];

		snprintf(id, sizeof(id), "i-%d", i);
		fix_server(&e, id, zones[i % 3]);
	}
	begin = tmr_now();
	for (i = 0; i < choices; i++)
		pick_server(&e, &r, UINT32_MAX);
	printf("%d servers: %.2f us a choice\n", servers,
	       (double)(tmr_now() - begin) / choices / 1000);
	fix_free(&e);
}

int main(void)
{
	static const int sizes[] = {36, 280, 448, 3000, 18000, 180000};
	size_t i;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++)
		measure(sizes[i]);
	return 0;
}
