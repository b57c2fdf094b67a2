#include "work_estimate.h"

/* Responses of a route from which its own mean applies: with the usual spread
 * of service times the mean is then known to about a fifth. */
#define MIN_SAMPLES 8
/* A new response has the weight 1/16 in the averages, as in the service's mean
 * latency. */
#define WEIGHT_INVERSE 16
/* Deviation assumed of a service's mean, as a part of it; half of the mean is
 * the least time in which a response is taken to be possible. */
#define ASSUMED_DEVIATION_DIVISOR 2
/* Routes that are remembered: far above what a configuration has; changes of
 * the configuration leave old ones. */
#define WORK_MAX_ROUTES 1024
#define HASH_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

struct route_row {
	uint64_t key;
	uint32_t samples;
	int64_t mean_ns;
	int64_t deviation_ns;
};

void work_init(struct work *w)
{
	tab_init(&w->routes, sizeof(struct route_row));
	idx_init(&w->route_by_key);
	w->next_replaced = 0;
}

void work_free(struct work *w)
{
	tab_free(&w->routes);
	idx_free(&w->route_by_key);
}

static uint64_t route_key(uint64_t route, uint64_t service)
{
	return (service ^ (route * HASH_MULTIPLIER)) | 1;
}

static struct route_row *find_route(const struct work *w, uint64_t key)
{
	return tab_get(&w->routes, idx_get(&w->route_by_key, key));
}

static struct route_row *add_route(struct work *w, uint64_t key)
{
	struct route_row *r;
	void *row;

	if (w->routes.len >= WORK_MAX_ROUTES) {
		w->next_replaced %= w->routes.len;
		r = tab_at(&w->routes, w->next_replaced);
		idx_del(&w->route_by_key, r->key);
		tab_del(&w->routes, tab_handle(&w->routes, w->next_replaced++));
	}
	idx_put(&w->route_by_key, key, tab_add(&w->routes, &row));
	r = row;
	r->key = key;
	return r;
}

void work_record(struct work *w, uint64_t route, uint64_t service,
		 int64_t took_ns)
{
	uint64_t key = route_key(route, service);
	struct route_row *r = find_route(w, key);
	int64_t off, weight;

	if (!r)
		r = add_route(w, key);
	/* Equal weights for the first responses. */
	weight = ++r->samples < WEIGHT_INVERSE ? r->samples : WEIGHT_INVERSE;
	if (r->samples > WEIGHT_INVERSE)
		r->samples = WEIGHT_INVERSE;
	off = took_ns - r->mean_ns;
	r->mean_ns += off / weight;
	if (weight > 1)
		r->deviation_ns +=
			((off < 0 ? -off : off) - r->deviation_ns) / weight;
}

struct work_time work_expect(const struct work *w, uint64_t route,
			     uint64_t service, int64_t service_mean_ns)
{
	const struct route_row *r = find_route(w, route_key(route, service));

	if (!r || r->samples < MIN_SAMPLES)
		return (struct work_time){
			service_mean_ns,
			service_mean_ns / ASSUMED_DEVIATION_DIVISOR};
	return (struct work_time){r->mean_ns, r->deviation_ns};
}
