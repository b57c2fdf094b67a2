#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <poll.h>
#include <string.h>
#include <cmocka.h>

#include "bundle_loader.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define MAX_RESULTS 8

struct results {
	size_t count;
	int64_t versions[MAX_RESULTS];
	enum err errs[MAX_RESULTS];
};

static void on_done(void *ctx, struct bld_result *r)
{
	struct results *results = ctx;

	assert_true(results->count < MAX_RESULTS);
	assert_int_equal(!r->err, r->bundle != NULL);
	if (r->bundle)
		assert_int_equal(r->bundle->version, r->version);
	results->versions[results->count] = r->version;
	results->errs[results->count++] = r->err;
}

/*
 * Kinds of text: g is valid, u has no signature, m is not a signed bundle, w
 * has a signed body that is not valid.
 */
static void make_text(struct strbuf *out, const struct sig_keypair *pair,
		      char kind, int64_t version)
{
	struct bndl_signed s = {0};
	struct strbuf body;

	strbuf_init(&body);
	strbuf_addf(&body,
		    "{\"name\":\"n\",\"version\":%lld,\"regions\":["
		    "{\"id\":\"r\",\"zones\":[\"z\"]}],\"services\":[%s],"
		    "\"routes\":[]}",
		    (long long)version, kind == 'w' ? "7" : "");
	s.body = strbuf_view(&body);
	if (kind != 'u')
		bndl_sign(&s, pair);
	strbuf_reset(out);
	if (kind == 'm')
		strbuf_add(out, s.body);
	else
		bndl_encode_signed(out, &s);
	strbuf_free(&body);
}

static void wait_results(struct evq *queue, const struct results *results,
			 size_t count)
{
	while (results->count < count) {
		struct pollfd fd = {queue->fd, POLLIN, 0};

		assert_int_equal(poll(&fd, 1, 5000), 1);
		evq_run(queue);
	}
}

/*
 * Guards against a rejected text without a result, an older text that replaces
 * a newer one, and texts that accumulate while the core thread is busy.
 */
static void test_results(void **state)
{
	static const struct {
		const char *name;
		/* Texts loaded before the first result is taken. */
		const char *kinds;
		int64_t versions[3];
		size_t count;
		int64_t expected[3];
		enum err errs[3];
	} cases[] = {
		{"valid", "g", {4}, 1, {4}, {ERR_OK}},
		{"unsigned", "u", {4}, 1, {4}, {ERR_REFUSED}},
		{"malformed", "m", {4}, 1, {4}, {ERR_INVALID}},
		{"invalid body", "w", {4}, 1, {4}, {ERR_INVALID}},
		{"newest waiting text is kept",
		 "ggg",
		 {4, 5, 6},
		 2,
		 {4, 6},
		 {ERR_OK, ERR_OK}},
		{"older text is discarded",
		 "ggg",
		 {4, 6, 5},
		 2,
		 {4, 6},
		 {ERR_OK, ERR_OK}},
		{"valid after rejected",
		 "ug",
		 {4, 5},
		 2,
		 {4, 5},
		 {ERR_REFUSED, ERR_OK}},
	};
	struct sig_keypair pair;
	size_t i, k;

	sig_setup();
	sig_keygen(&pair);
	for (i = 0; i < COUNT(cases); i++) {
		struct results results = {0};
		struct evq queue;
		struct bld *loader;
		struct strbuf text;
		struct pollfd fd;
		struct bld_opts opts = {
			.queue = &queue,
			.keys = {&pair.public, 1, 1},
			.done = on_done,
			.ctx = &results,
		};

		strbuf_init(&text);
		assert_int_equal(evq_init(&queue), 0);
		fd = (struct pollfd){queue.fd, POLLIN, 0};
		assert_int_equal(bld_open(&loader, &opts), ERR_OK);
		for (k = 0; cases[i].kinds[k]; k++) {
			make_text(&text, &pair, cases[i].kinds[k],
				  cases[i].versions[k]);
			bld_load(loader, cases[i].versions[k],
				 strbuf_view(&text));
			/* From here on the first result waits in the queue. */
			assert_int_equal(poll(&fd, 1, 5000), 1);
		}
		wait_results(&queue, &results, cases[i].count);
		assert_int_equal(poll(&fd, 1, 20), 0);
		for (k = 0; k < cases[i].count; k++) {
			if (results.versions[k] != cases[i].expected[k] ||
			    results.errs[k] != cases[i].errs[k])
				fail_msg("%s: result %zu is %d, version %d",
					 cases[i].name, k, results.errs[k],
					 (int)results.versions[k]);
		}
		/* The loader closes while a text is being processed. */
		bld_load(loader, 9, strbuf_view(&text));
		bld_close(loader);
		evq_free(&queue);
		strbuf_free(&text);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_results),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
