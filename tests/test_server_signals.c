#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>

#include "edge_fixture.h"
#include "edge_load_balancing.h"
#include "edge_outlier_detection.h"
#include "server_signals.h"
#include "state_codec.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))

static struct edge e;

/* Guards against a pause that is misread, and against a server that is lost for
 * years by a bad value. */
static void test_retry_after(void **state)
{
	static const struct {
		const char *text;
		int64_t ns;
	} cases[] = {
		{"2", 2 * NS_PER_S},
		{" 2 ", 2 * NS_PER_S},
		{"0", 0},
		{"0.25", 250 * NS_PER_MS},
		{"1.5000000009", 1500 * NS_PER_MS},
		{"31536000", SIG_MAX_PAUSE_NS},
		{"99999999999999999999", SIG_MAX_PAUSE_NS},
		{"-1", -1},
		{"", -1},
		{".5", -1},
		{"1.", -1},
		{"1.x", -1},
		{"1e9", -1},
		{"soon", -1},
		{"Wed, 21 Oct 2026 07:28:00 GMT", -1},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		int64_t ns = sig_parse_retry_after(str_from(cases[i].text));

		if (ns != cases[i].ns)
			fail_msg("\"%s\": %lld", cases[i].text, (long long)ns);
	}
}

static void respond(struct srv_row *s, const char *head)
{
	struct rsp r;

	assert_null(rsp_parse(&r, str_from(head), false));
	sig_on_response(&e, s, &r);
}

/* Guards against requests and trials to a server during its pause, against a
 * request that waits in vain for its end, and against one that is refused
 * although another server can take it. */
static void test_pause(void **state)
{
	static const struct {
		const char *name;
		const char *head;
		/* Health of the server, and time left to the request. */
		bool ejected;
		int time_left_ms;
		int after_ms;
		bool other_server;
		enum pick_result result;
		bool chosen;
	} cases[] = {
		{"in the pause", "HTTP/1.1 503 X\r\nRetry-After: 2\r\n\r\n",
		 false, 9000, 1900, false, PICK_FULL, false},
		{"after the pause", "HTTP/1.1 503 X\r\nRetry-After: 2\r\n\r\n",
		 false, 9000, 2100, false, PICK_FOUND, true},
		{"too long to wait",
		 "HTTP/1.1 503 X\r\nRetry-After: 20\r\n\r\n", false, 9000, 100,
		 false, PICK_NONE, false},
		{"trial in the pause",
		 "HTTP/1.1 503 X\r\nRetry-After: 9\r\n\r\n", true, 9000, 8000,
		 false, PICK_NONE, false},
		{"other server", "HTTP/1.1 503 X\r\nRetry-After: 9\r\n\r\n",
		 false, 9000, 100, true, PICK_FOUND, false},
		{"bad value", "HTTP/1.1 503 X\r\nRetry-After: -9\r\n\r\n",
		 false, 9000, 100, false, PICK_FOUND, true},
		{"not a refusal", "HTTP/1.1 200 X\r\nRetry-After: 9\r\n\r\n",
		 false, 9000, 100, false, PICK_FOUND, true},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct req_row r = fix_request(CONF_SAFE);
		struct hnd h = {0};
		struct srv_row *s;
		struct pick p;

		fix_init(&e);
		if (cases[i].other_server)
			fix_server(&e, "i-1", "z1");
		s = fix_server(&e, "i-0", "z0");
		respond(s, cases[i].head);
		if (cases[i].ejected)
			hlth_record(&e, s, HLTH_BROKEN);
		fix_advance(&e, cases[i].after_ms * NS_PER_MS);
		s->last_accepted_ns = e.ev.now_ns;
		r.expires_ns = e.ev.now_ns + cases[i].time_left_ms * NS_PER_MS;
		p = pick_server(&e, &r, UINT32_MAX);
		srv_find(&e, s->key, &h);
		if (p.result != cases[i].result ||
		    (p.result == PICK_FOUND && hnd_eq(p.server, h)) !=
			    cases[i].chosen)
			fail_msg("%s: result %d", cases[i].name, p.result);
		fix_free(&e);
	}
}

/* Guards against a server that is in use again after it said that it is
 * leaving: by a later row, an older start, a row that expired or a state of
 * another VM; and against a new start that gets no requests. */
static void test_leaving(void **state)
{
	static const struct {
		const char *name;
		/* Start of the incarnation that said that it is leaving. */
		int64_t said_by;
		/* The row that follows. */
		int64_t start_ms;
		uint64_t version;
		uint64_t seq;
		bool draining;
		enum srv_state result;
	} cases[] = {
		{"row says ready", 10, 10, 2, 8, false, SRV_DRAINING},
		{"row says draining", 10, 10, 2, 8, true, SRV_DRAINING},
		{"old row", 10, 9, 0, 8, false, SRV_DRAINING},
		{"new start", 10, 11, 2, 1, false, SRV_READY},
		{"new start by its sequence", 10, 10, 2, 1, false, SRV_READY},
		{"new start with an earlier clock", 10, 9, 2, 1, false,
		 SRV_READY},
		{"said by an older start", 9, 10, 2, 8, false, SRV_READY},
		{"said by a start not listed yet", 12, 12, 2, 1, false,
		 SRV_DRAINING},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_report r = fix_report("i-0", "z0", 1);
		struct strbuf bytes;
		struct srv_row *s;

		fix_init(&e);
		r.start_time_ms = 10;
		r.seq = 7;
		r.version = 1;
		srv_update(&e, &r);
		s = srv_find(&e, edge_key(r.id), NULL);
		srv_set_leaving(&e, s, cases[i].said_by);
		r.start_time_ms = cases[i].start_ms;
		r.version = cases[i].version;
		r.seq = cases[i].seq;
		r.draining = cases[i].draining;
		srv_update(&e, &r);
		if (s->state != cases[i].result)
			fail_msg("%s: state %d", cases[i].name, s->state);
		strbuf_init(&bytes);
		codec_write_state(&e, (struct era_version){0}, &bytes);
		fix_free(&e);

		/* A VM that starts anew and fetches the state. */
		fix_init(&e);
		assert_int_equal(codec_apply_state(&e, strbuf_view(&bytes)),
				 ERR_OK);
		s = srv_find(&e, edge_key(r.id), NULL);
		if (s->state != cases[i].result)
			fail_msg("%s: state %d after a restart", cases[i].name,
				 s->state);
		/* The known incarnation reports again. */
		r.start_time_ms = s->start_time_ms;
		r.draining = false;
		r.version = 9;
		r.seq = 9;
		srv_update(&e, &r);
		if (s->state !=
		    (cases[i].draining ? SRV_DRAINING : cases[i].result))
			fail_msg("%s: state %d after a later row",
				 cases[i].name, s->state);
		strbuf_free(&bytes);
		fix_free(&e);
	}
}

/* Guards against a server whose row is gone for a while, as in an outage of the
 * store, and that then gets requests in its pause or while it is leaving. */
static void test_row_comes_back(void **state)
{
	static const struct {
		const char *name;
		const char *head;
		/* The row is gone for this time. */
		int gone_ms;
		int64_t start_ms;
		enum srv_state state;
		bool paused;
	} cases[] = {
		{"paused", "HTTP/1.1 503 X\r\nRetry-After: 8\r\n\r\n", 3000, 1,
		 SRV_READY, true},
		{"pause over", "HTTP/1.1 503 X\r\nRetry-After: 2\r\n\r\n", 3000,
		 1, SRV_READY, false},
		{"paused, new start",
		 "HTTP/1.1 503 X\r\nRetry-After: 8\r\n\r\n", 3000, 2, SRV_READY,
		 false},
		{"leaving", "HTTP/1.1 200 X\r\nX-Server-Leaving: 1\r\n\r\n",
		 30000, 1, SRV_DRAINING, false},
		{"leaving, new start",
		 "HTTP/1.1 200 X\r\nX-Server-Leaving: 1\r\n\r\n", 3000, 2,
		 SRV_READY, false},
		{"neither", "HTTP/1.1 200 X\r\n\r\n", 3000, 1, SRV_READY,
		 false},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_report r = fix_report("i-0", "z0", 3);
		struct srv_row *s;

		fix_init(&e);
		respond(fix_server(&e, "i-0", "z0"), cases[i].head);
		srv_set_missing(&e, r.id, 2);
		srv_tick(&e, e.ev.now_ns);
		fix_advance(&e, cases[i].gone_ms * NS_PER_MS);
		srv_tick(&e, e.ev.now_ns);
		r.start_time_ms = cases[i].start_ms;
		srv_update(&e, &r);
		s = srv_find(&e, edge_key(r.id), NULL);
		if (s->state != cases[i].state ||
		    srv_is_paused(&e, s) != cases[i].paused)
			fail_msg("%s: state %d, paused %d", cases[i].name,
				 s->state, srv_is_paused(&e, s));
		/* What is remembered is deleted in the end. */
		srv_set_missing(&e, r.id, 4);
		srv_tick(&e, e.ev.now_ns);
		fix_advance(&e, 100 * NS_PER_S);
		assert_true(!e.servers.len || srv_next_due(&e) <= e.ev.now_ns);
		srv_tick(&e, e.ev.now_ns);
		assert_int_equal(e.servers.len, 0);
		fix_free(&e);
	}
}

/* Guards against a header field that is taken for the word of leaving. */
static void test_leaving_field(void **state)
{
	static const struct {
		const char *head;
		enum srv_state result;
	} cases[] = {
		{"HTTP/1.1 200 X\r\nX-Server-Leaving: 1\r\n\r\n", SRV_DRAINING},
		{"HTTP/1.1 503 X\r\nx-server-leaving:1 \r\n\r\n", SRV_DRAINING},
		{"HTTP/1.1 200 X\r\nX-Server-Leaving: 0\r\n\r\n", SRV_READY},
		{"HTTP/1.1 200 X\r\nConnection: close\r\n\r\n", SRV_READY},
	};
	size_t i;

	(void)state;
	for (i = 0; i < COUNT(cases); i++) {
		struct srv_row *s;

		fix_init(&e);
		s = fix_server(&e, "i-0", "z0");
		respond(s, cases[i].head);
		if (s->state != cases[i].result)
			fail_msg("case %zu: state %d", i, s->state);
		fix_free(&e);
	}
}

/* Guards against a state that is applied in part: a truncated one, or one with
 * bytes after its end. */
static void test_state_whole(void **state)
{
	struct strbuf bytes;
	size_t len;

	(void)state;
	fix_init(&e);
	fix_server(&e, "i-0", "z0");
	srv_set_leaving(&e, fix_server(&e, "i-1", "z0"), 1);
	strbuf_init(&bytes);
	codec_write_state(&e, (struct era_version){0}, &bytes);
	strbuf_add(&bytes, STR("\x01"));
	fix_free(&e);
	for (len = 0; len <= bytes.len; len++) {
		struct str part = {bytes.ptr, len};
		bool whole = len == bytes.len - 1;

		fix_init(&e);
		if ((codec_apply_state(&e, part) == ERR_OK) != whole ||
		    e.servers.len != (whole ? 2 : 0))
			fail_msg("%zu of %zu bytes: %u servers", len, bytes.len,
				 e.servers.len);
		fix_free(&e);
	}
	strbuf_free(&bytes);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_retry_after),
		cmocka_unit_test(test_pause),
		cmocka_unit_test(test_leaving),
		cmocka_unit_test(test_row_comes_back),
		cmocka_unit_test(test_leaving_field),
		cmocka_unit_test(test_state_whole),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
