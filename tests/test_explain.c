#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "explain.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define LINE(second, vm, event, rest)                                 \
	"{\"time\":\"2026-12-04T13:00:" second                        \
	"Z\",\"level\":\"info\",\"vm\":\"" vm "\",\"event\":\"" event \
	"\"" rest "}\n"
#define BROKEN_ATTEMPT                    \
	LINE("20.500000", "e1", "broken", \
	     ",\"request\":\"q1\",\"server\":\"i-1\"")

/*
 * Guards against a timeline that omits an event that explains the request,
 * includes one of another request, or is not ordered by time.
 */
static void test_timeline(void **state)
{
	static const struct {
		const char *name;
		const char *lines[4];
		size_t request_lines;
		/* Events in the order of the timeline. */
		const char *events;
	} cases[] = {
		{"no lines", {NULL}, 0, ""},
		{"another request",
		 {LINE("20.000000", "e1", "answer", ",\"request\":\"q10\"")},
		 0,
		 ""},
		{"ordered by time",
		 {BROKEN_ATTEMPT,
		  LINE("20.400000", "e1", "repeat", ",\"request\":\"q1\"")},
		 2,
		 "repeat broken "},
		{"ejection of its server",
		 {BROKEN_ATTEMPT,
		  LINE("19.000000", "e2", "eject", ",\"server\":\"i-1\"")},
		 1,
		 "eject broken "},
		{"ejection of another server",
		 {BROKEN_ATTEMPT,
		  LINE("19.000000", "e1", "eject", ",\"server\":\"i-2\"")},
		 1,
		 "broken "},
		{"configuration of its VM",
		 {BROKEN_ATTEMPT,
		  LINE("15.000000", "e1", "config", ",\"version\":3")},
		 1,
		 "config broken "},
		{"configuration of another VM",
		 {BROKEN_ATTEMPT,
		  LINE("15.000000", "e2", "config", ",\"version\":3")},
		 1,
		 "broken "},
		{"its server's state at its VM",
		 {BROKEN_ATTEMPT,
		  LINE("19.000000", "e1", "server", ",\"server\":\"i-1\"")},
		 1,
		 "server broken "},
		{"its server's state at another VM",
		 {BROKEN_ATTEMPT,
		  LINE("19.000000", "e2", "server", ",\"server\":\"i-1\"")},
		 1,
		 "broken "},
		{"event long before the request",
		 {BROKEN_ATTEMPT,
		  LINE("05.000000", "e1", "config", ",\"version\":3")},
		 1,
		 "broken "},
		{"malformed lines",
		 {BROKEN_ATTEMPT, "{\"time\":", "not JSON", "[1]\n"},
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
		size_t request_lines;

		strbuf_init(&out);
		for (k = 0; k < 4 && cases[i].lines[k]; k++)
			expl_add_line(x, str_from(cases[i].lines[k]));
		request_lines = expl_write(x, &out);
		for (text = strbuf_view(&out); text.len;) {
			struct str line = str_split(&text, '\n');
			char *at = events + strlen(events);

			line = str_skip(line, strlen("2026-12-04T13:00:"
						     "20.500000Z * "
						     "e1 "));
			str_copy(at, 16, str_split(&line, ' '));
			strcat(events, " ");
		}
		if (request_lines != cases[i].request_lines ||
		    strcmp(events, cases[i].events) != 0)
			fail_msg("%s: %zu request lines, %s", cases[i].name,
				 request_lines, events);
		strbuf_free(&out);
		expl_free(x);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_timeline),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
