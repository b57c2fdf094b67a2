#include "request_check.h"

#include "request_path.h"
#include "timer.h"

/* For requests without a deadline. */
#define DEFAULT_DEADLINE_NS (30 * NS_PER_S)
#define MAX_DEADLINE_MS 3600000

static bool is_below(struct str path, const struct conf_route *route)
{
	struct strbuf prefix;
	bool below;

	strbuf_init(&prefix);
	path_normalize(route->prefix, &prefix);
	below = str_starts_with(path, strbuf_view(&prefix));
	strbuf_free(&prefix);
	return below;
}

/* Route of a normalized path in a configuration with prefixes that are not
 * normalized, which the look-up would miss. */
static const struct conf_route *
find_normalized(const struct conf *c, struct str host, struct str path)
{
	const struct conf_route *best = NULL;
	uint32_t i;

	host = str_split(&host, ':');
	for (i = 0; i < c->route_count; i++) {
		const struct conf_route *r = &c->routes[i];

		if (str_eq_nocase(r->host, host) && is_below(path, r) &&
		    (!best || r->prefix.len > best->prefix.len))
			best = r;
	}
	return best;
}

static const struct conf_route *
route_of_server(const struct conf *c, struct str host, struct str path)
{
	const struct conf_route *route;
	struct strbuf normal;

	strbuf_init(&normal);
	path_normalize(path, &normal);
	route = c->has_encoded_prefix
			? find_normalized(c, host, strbuf_view(&normal))
			: conf_match_route(c, host, strbuf_view(&normal));
	strbuf_free(&normal);
	return route;
}

enum chk_route chk_route(const struct conf *c, struct str host, struct str path,
			 const struct conf_route **route)
{
	*route = conf_match_route(c, host, path);
	if (!*route)
		return CHK_ROUTE_NONE;
	path = str_split(&path, '?');
	if (path_is_plain(path) || route_of_server(c, host, path) == *route)
		return CHK_ROUTE_FOUND;
	return CHK_ROUTE_AMBIGUOUS;
}

bool chk_deadline(struct str value, int64_t start_ns, int64_t *deadline_ns)
{
	uint64_t ms;

	value = str_trim(value);
	*deadline_ns = start_ns + DEFAULT_DEADLINE_NS;
	if (!value.len)
		return true;
	if (!str_is_digits(value))
		return false;
	/* A number that does not fit is above the maximum as well. */
	if (!str_parse_u64(value, &ms) || ms > MAX_DEADLINE_MS)
		ms = MAX_DEADLINE_MS;
	*deadline_ns = start_ns + (int64_t)ms * NS_PER_MS;
	return true;
}

const char *chk_fields(const struct hdr_names *names, const struct hreq *head,
		       int64_t start_ns, int64_t *deadline_ns)
{
	struct str deadline = hreq_header(head, names->deadline_ms);

	if (hreq_count(head, names->request_id) > 1)
		return "two request ids";
	return chk_deadline(deadline, start_ns, deadline_ns) ? NULL
							     : "bad deadline";
}
