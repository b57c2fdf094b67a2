#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include <stdlib.h>
#include <unistd.h>

#include "edge_fixture.h"
#include "metrics.h"
#include "settings_reload.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

#define SETTINGS(id, callers, zone_of_z2, ttl, more)                  \
	"{\"id\":\"" id                                               \
	"\",\"zone\":\"z0\",\"region\":\"r0\",\"callers\":\"" callers \
	"\",\"store\":\"10.0.0.9:80\",\"zones\":{\"z0\":\"r0\","      \
	"\"z2\":\"" zone_of_z2 "\"},\"peer_port\":5000,"              \
	"\"peer_trust\":\"network\",\"address_ttl\":\"" ttl "\"" more "}"
#define CALLERS "10.0.0.1:80"
#define FIRST SETTINGS("vm0", CALLERS, "r1", "5s", "")

static struct edge e;
static char path[] = "/tmp/test_settings_reload_XXXXXX";

static void write_file(const char *text)
{
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

static void start(void)
{
	struct strbuf errors;
	struct srv_report r = fix_report("i-0", "z2", 1);

	fix_init(&e);
	strbuf_init(&errors);
	write_file(FIRST);
	assert_int_equal(eset_load(&e.settings, str_from(path), &errors),
			 ERR_OK);
	strbuf_free(&errors);
	e.settings_file = str_from(path);
	rset_start(&e);
	srv_update(&e, &r);
}

static void stop(void)
{
	eset_free(&e.settings);
	fix_free(&e);
}

/* Guards against changed settings that take no effect or only in part, against
 * an invalid file that changes something, and against a listener's address that
 * differs from the one in use. */
static void test_reload(void **state)
{
	static const struct {
		const char *name;
		const char *text;
		int64_t ttl_ms;
		/* Region of the server's zone. */
		const char *region;
		int reloads;
		int errors;
	} cases[] = {
		{"same file", FIRST, 5000, "r1", 0, 0},
		{"address lifetime", SETTINGS("vm0", CALLERS, "r1", "2s", ""),
		 2000, "r1", 1, 0},
		{"zone in another region",
		 SETTINGS("vm0", CALLERS, "r0", "5s", ""), 5000, "r0", 1, 0},
		{"seeds and slack",
		 SETTINGS("vm0", CALLERS, "r1", "5s",
			  ",\"seeds\":[\"10.0.0.2:81\"],\"retry_slack\":7"),
		 5000, "r1", 1, 0},
		{"other address",
		 SETTINGS("vm0", "10.0.0.1:81", "r1", "5s", ""), 5000, "r1", 0,
		 0},
		{"other id and lifetime",
		 SETTINGS("vm7", CALLERS, "r1", "2s", ""), 2000, "r1", 1, 0},
		{"truncated", "{\"id\":\"vm0\",", 5000, "r1", 0, 1},
		{"empty", "", 5000, "r1", 0, 1},
		{"one bad value",
		 SETTINGS("vm0", CALLERS, "r0", "2s", ",\"retry_slack\":-1"),
		 5000, "r1", 0, 1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		uint64_t reloads = ctr_get(CTR_RELOADS);
		uint64_t errors = ctr_get(CTR_RELOAD_ERRORS);
		const struct srv_row *s;

		start();
		write_file(cases[i].text);
		rset_reload(&e);
		s = tab_at(&e.servers, 0);
		if (e.settings.address_ttl_ns != cases[i].ttl_ms * NS_PER_MS ||
		    s->region != edge_key(str_from(cases[i].region)) ||
		    ctr_get(CTR_RELOADS) - reloads !=
			    (uint64_t)cases[i].reloads ||
		    ctr_get(CTR_RELOAD_ERRORS) - errors !=
			    (uint64_t)cases[i].errors)
			fail_msg("%s: address lifetime %lld ms", cases[i].name,
				 (long long)(e.settings.address_ttl_ns /
					     NS_PER_MS));
		assert_true(str_eq(e.settings.id, STR("vm0")));
		assert_int_equal(ntohs(e.settings.callers.sin_port), 80);
		stop();
	}
}

/* Guards against settings that need a restart without anyone being told. */
static void test_restart(void **state)
{
	static const struct {
		const char *text;
		const char *restart;
	} cases[] = {
		{FIRST, ""},
		{SETTINGS("vm0", CALLERS, "r1", "2s", ""), ""},
		{SETTINGS("vm7", CALLERS, "r1", "5s", ""), "id"},
		{SETTINGS("vm0", "10.0.0.1:81", "r1", "5s",
			  ",\"ready\":\"10.0.0.1:82\""),
		 "callers ready"},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct strbuf restart, errors;
		struct eset fresh;

		start();
		strbuf_init(&restart);
		strbuf_init(&errors);
		assert_int_equal(eset_parse(&fresh, STR("f"),
					    str_from(cases[i].text), &errors),
				 ERR_OK);
		rset_apply(&e, &fresh, &restart);
		if (!str_eq(strbuf_view(&restart), str_from(cases[i].restart)))
			fail_msg("case %zu: %s", i, strbuf_cstr(&restart));
		strbuf_free(&restart);
		strbuf_free(&errors);
		stop();
	}
}

/* Guards against a changed file that is noticed only after a signal, and
 * against one that is read again and again. */
static void test_without_signal(void **state)
{
	uint64_t reloads;

	(void)state;
	start();
	reloads = ctr_get(CTR_RELOADS);
	write_file(SETTINGS("vm0", CALLERS, "r1", "250ms", ""));
	fix_advance(&e, 2 * NS_PER_S);
	tmr_run(&e.ev.timers, e.ev.now_ns);
	assert_int_equal(e.settings.address_ttl_ns, 250 * NS_PER_MS);
	fix_advance(&e, 2 * NS_PER_S);
	tmr_run(&e.ev.timers, e.ev.now_ns);
	assert_int_equal(ctr_get(CTR_RELOADS), reloads + 1);
	stop();
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_reload),
		cmocka_unit_test(test_restart),
		cmocka_unit_test(test_without_signal),
	};
	int fd = mkstemp(path), result;

	if (fd < 0)
		return 1;
	close(fd);
	result = cmocka_run_group_tests(tests, NULL, NULL);
	unlink(path);
	return result;
}
