#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "expl.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define LINE(second, vm, event, rest)                                 \
	"{\"time\":\"2026-12-04T13:00:" second                        \
	"Z\",\"level\":\"info\",\"vm\":\"" vm "\",\"event\":\"" event \
	"\"" rest "}\n"
#define ANSWER                            \
	LINE("20.500000", "e1", "broken", \
	     ",\"request\":\"q1\",\"server\":\"i-1\"")

/* Guards against a story that leaves out its cause, tells that of another
 * request, or is out of order. */
static void test_story(void **state)
{
	static const struct {
		const char *name;
		const char *lines[4];
		size_t own;
		/* Events in the order of the story. */
		const char *events;
	} cases[] = {
		{"nothing", {NULL}, 0, ""},
		{"another request",
		 {LINE("20.000000", "e1", "answer", ",\"request\":\"q10\"")},
		 0,
		 ""},
		{"order of time",
		 {ANSWER,
		  LINE("20.400000", "e1", "repeat", ",\"request\":\"q1\"")},
		 2,
		 "repeat broken "},
		{"its server",
		 {ANSWER,
		  LINE("19.000000", "e2", "eject", ",\"server\":\"i-1\"")},
		 1,
		 "eject broken "},
		{"another server",
		 {ANSWER,
		  LINE("19.000000", "e1", "eject", ",\"server\":\"i-2\"")},
		 1,
		 "broken "},
		{"its VM",
		 {ANSWER, LINE("15.000000", "e1", "config", ",\"version\":3")},
		 1,
		 "config broken "},
		{"another VM",
		 {ANSWER, LINE("15.000000", "e2", "config", ",\"version\":3")},
		 1,
		 "broken "},
		{"what its VM knew of its server",
		 {ANSWER,
		  LINE("19.000000", "e1", "server", ",\"server\":\"i-1\"")},
		 1,
		 "server broken "},
		{"what another VM knew",
		 {ANSWER,
		  LINE("19.000000", "e2", "server", ",\"server\":\"i-1\"")},
		 1,
		 "broken "},
		{"long before",
		 {ANSWER, LINE("05.000000", "e1", "config", ",\"version\":3")},
		 1,
		 "broken "},
		{"damaged lines",
		 {ANSWER, "{\"time\":", "not JSON", "[1]\n"},
		 1,
		 "broken "},
	};
	size_t i, k;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct expl *x = expl_new(STR("q1"));
		struct strbuf out;
		char events[64] = "";
		struct str text;
		size_t own;

		strbuf_init(&out);
		for (k = 0; k < 4 && cases[i].lines[k]; k++)
			expl_add(x, str_from(cases[i].lines[k]));
		own = expl_write(x, &out);
		for (text = strbuf_view(&out); text.len;) {
			struct str line = str_split(&text, '\n');
			char *at = events + strlen(events);

			line = str_skip(line, strlen("2026-12-04T13:00:"
						     "20.500000Z * "
						     "e1 "));
			str_copy(at, 16, str_split(&line, ' '));
			strcat(events, " ");
		}
		if (own != cases[i].own || strcmp(events, cases[i].events) != 0)
			fail_msg("%s: %zu own lines, %s", cases[i].name, own,
				 events);
		strbuf_free(&out);
		expl_free(x);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_story),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
