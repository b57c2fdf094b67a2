#include "settings_reload.h"

#include <string.h>
#include <sys/stat.h>

#include "backend_server.h"
#include "caller_memory.h"
#include "logs.h"
#include "metrics.h"

/* Interval at which the file is checked for a change without a signal. */
#define CHECK_PERIOD_NS (2 * NS_PER_S)

static bool same_address(const struct sockaddr_in *a,
			 const struct sockaddr_in *b)
{
	return a->sin_port == b->sin_port &&
	       a->sin_addr.s_addr == b->sin_addr.s_addr;
}

static void keep_str(struct eset *fresh, struct str *now, struct str before,
		     const char *name, struct strbuf *restart)
{
	if (!str_eq(*now, before))
		strbuf_addf(restart, "%s%s", restart->len ? " " : "", name);
	*now = arn_strdup(&fresh->arena, before);
}

static void keep_address(struct sockaddr_in *now,
			 const struct sockaddr_in *before, const char *name,
			 struct strbuf *restart)
{
	if (!same_address(now, before))
		strbuf_addf(restart, "%s%s", restart->len ? " " : "", name);
	*now = *before;
}

/* Sockets, calls and messages in progress refer to these. */
static void keep_fixed(struct eset *fresh, const struct eset *before,
		       struct strbuf *restart)
{
	keep_str(fresh, &fresh->id, before->id, "id", restart);
	keep_str(fresh, &fresh->zone, before->zone, "zone", restart);
	keep_str(fresh, &fresh->region, before->region, "region", restart);
	keep_address(&fresh->callers, &before->callers, "callers", restart);
	keep_address(&fresh->ready, &before->ready, "ready", restart);
	keep_address(&fresh->directory, &before->directory, "directory",
		     restart);
	keep_address(&fresh->control, &before->control, "control", restart);
	keep_address(&fresh->store, &before->store, "store", restart);
	if (fresh->peer_port != before->peer_port)
		strbuf_addf(restart, "%speer_port", restart->len ? " " : "");
	fresh->peer_port = before->peer_port;
	fresh->message_addr = before->message_addr;
}

static bool same_zones(const struct eset *a, const struct eset *b)
{
	size_t i;

	for (i = 0; i < a->zone_count && i < b->zone_count; i++)
		if (a->zones[i].zone_key != b->zones[i].zone_key ||
		    a->zones[i].region_key != b->zones[i].region_key)
			return false;
	return a->zone_count == b->zone_count;
}

static bool same_seeds(const struct eset *a, const struct eset *b)
{
	size_t i;

	for (i = 0; i < a->seed_count && i < b->seed_count; i++)
		if (!same_address(&a->seeds[i], &b->seeds[i]))
			return false;
	return a->seed_count == b->seed_count;
}

static bool same_values(const struct eset *a, const struct eset *b)
{
	return a->drain_ns == b->drain_ns && a->grace_ns == b->grace_ns &&
	       a->address_ttl_ns == b->address_ttl_ns &&
	       a->retry_permille == b->retry_permille &&
	       a->retry_slack == b->retry_slack &&
	       a->retry_window_ns == b->retry_window_ns &&
	       a->quota_window_ns == b->quota_window_ns &&
	       a->quota_overage_permille == b->quota_overage_permille &&
	       a->quota_slack == b->quota_slack &&
	       a->floor_permille == b->floor_permille &&
	       a->log_level == b->log_level && a->link_mbps == b->link_mbps &&
	       a->memory_mb == b->memory_mb &&
	       a->max_descriptors == b->max_descriptors && same_zones(a, b) &&
	       same_seeds(a, b);
}

bool rset_apply(struct edge *e, struct eset *fresh, struct strbuf *restart)
{
	bool changed = !same_values(fresh, &e->settings);
	uint32_t i;

	keep_fixed(fresh, &e->settings, restart);
	eset_free(&e->settings);
	e->settings = *fresh;
	cmem_set_limits(e);
	for (i = 0; i < e->servers.len; i++) {
		struct srv_row *s = tab_at(&e->servers, i);

		s->region = eset_region_of_zone(&e->settings, s->zone);
	}
	logs_set_level((enum logs_level)e->settings.log_level);
	return changed;
}

static void log_reload(const char *result, struct str detail)
{
	logs_event(str_eq(str_from(result), STR("invalid")) ? LOGS_ERROR
							    : LOGS_INFO,
		   "reload",
		   (struct logs_field[]){
			   LOGS_STR("result", str_from(result)),
			   LOGS_STR("detail", detail),
		   },
		   2);
}

/* False for anything but a regular file: reading a pipe would block. */
static bool read_status(const struct edge *e, struct stat *status)
{
	char name[4096];

	str_copy(name, sizeof(name), e->settings_file);
	return !stat(name, status) && S_ISREG(status->st_mode);
}

static bool is_same_file(const struct stat *a, const struct stat *b)
{
	return a->st_ino == b->st_ino && a->st_size == b->st_size &&
	       a->st_mtim.tv_sec == b->st_mtim.tv_sec &&
	       a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

void rset_reload(struct edge *e)
{
	struct strbuf errors, restart;
	struct stat status;
	struct eset fresh;

	strbuf_init(&errors);
	strbuf_init(&restart);
	if (!read_status(e, &status)) {
		log_reload("invalid", STR("the settings are no regular file"));
		ctr_add(CTR_RELOAD_ERRORS, 1);
	} else if (eset_load(&fresh, e->settings_file, &errors)) {
		log_reload("invalid", strbuf_view(&errors));
		ctr_add(CTR_RELOAD_ERRORS, 1);
		eset_free(&fresh);
	} else {
		bool changed = rset_apply(e, &fresh, &restart);

		log_reload(changed ? "applied" : "unchanged", STR_NONE);
		ctr_add(CTR_RELOADS, changed);
		if (restart.len)
			log_reload("needs a restart", strbuf_view(&restart));
	}
	e->settings_status = status;
	strbuf_free(&errors);
	strbuf_free(&restart);
}

static void check_file(void *ctx, int64_t now_ns)
{
	struct edge *e = ctx;
	struct stat status;

	if (read_status(e, &status) &&
	    !is_same_file(&status, &e->settings_status))
		rset_reload(e);
}

void rset_start(struct edge *e)
{
	if (!e->settings_file.len)
		return;
	read_status(e, &e->settings_status);
	tmr_subscribe(&e->ev.timers,
		      &(struct tmr_opts){
			      .due_ns = e->ev.now_ns + CHECK_PERIOD_NS,
			      .period_ns = CHECK_PERIOD_NS,
			      .fire = check_file,
			      .ctx = e,
		      });
}
