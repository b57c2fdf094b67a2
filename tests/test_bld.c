#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <poll.h>
#include <string.h>
#include <cmocka.h>

#include "bld.h"

#define COUNT(a) (sizeof(a) / sizeof((a)[0]))
#define RESULTS 8

struct seen {
	size_t count;
	int64_t versions[RESULTS];
	enum err errs[RESULTS];
};

static void on_done(void *ctx, struct bld_result *r)
{
	struct seen *seen = ctx;

	assert_true(seen->count < RESULTS);
	assert_int_equal(!r->err, r->bundle != NULL);
	if (r->bundle)
		assert_int_equal(r->bundle->version, r->version);
	seen->versions[seen->count] = r->version;
	seen->errs[seen->count++] = r->err;
}

/* KIND: a good text, one without signature, one that is no signed bundle, one
 * with a wrong body. */
static void make_text(struct strbuf *out, const struct sig_pair *pair,
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

static void wait_results(struct evq *queue, const struct seen *seen,
			 size_t count)
{
	while (seen->count < count) {
		struct pollfd fd = {queue->fd, POLLIN, 0};

		assert_int_equal(poll(&fd, 1, 5000), 1);
		evq_run(queue);
	}
}

/*
 * Guards against a refused text without an answer, an older text that displaces
 * a newer one, and texts that pile up while the core thread is late.
 */
static void test_results(void **state)
{
	static const struct {
		const char *name;
		/* Handed over before the core thread takes the first result. */
		const char *kinds;
		int64_t versions[3];
		size_t count;
		int64_t seen[3];
		enum err errs[3];
	} cases[] = {
		{"good", "g", {4}, 1, {4}, {ERR_OK}},
		{"unsigned", "u", {4}, 1, {4}, {ERR_REFUSED}},
		{"malformed", "m", {4}, 1, {4}, {ERR_INVALID}},
		{"wrong body", "w", {4}, 1, {4}, {ERR_INVALID}},
		{"newest of those that wait",
		 "ggg",
		 {4, 5, 6},
		 2,
		 {4, 6},
		 {ERR_OK, ERR_OK}},
		{"older one is dropped",
		 "ggg",
		 {4, 6, 5},
		 2,
		 {4, 6},
		 {ERR_OK, ERR_OK}},
		{"good after refused",
		 "ug",
		 {4, 5},
		 2,
		 {4, 5},
		 {ERR_REFUSED, ERR_OK}},
	};
	struct sig_pair pair;
	size_t i, k;

	sig_setup();
	sig_keygen(&pair);
	for (i = 0; i < COUNT(cases); i++) {
		struct seen seen = {0};
		struct evq queue;
		struct bld *loader;
		struct strbuf text;
		struct pollfd fd;
		struct bld_opts opts = {
			.queue = &queue,
			.keys = {&pair.public, 1, 1},
			.done = on_done,
			.ctx = &seen,
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
			/* The first result waits from here on. */
			assert_int_equal(poll(&fd, 1, 5000), 1);
		}
		wait_results(&queue, &seen, cases[i].count);
		assert_int_equal(poll(&fd, 1, 20), 0);
		for (k = 0; k < cases[i].count; k++) {
			if (seen.versions[k] != cases[i].seen[k] ||
			    seen.errs[k] != cases[i].errs[k])
				fail_msg("%s: result %zu is %d, version %d",
					 cases[i].name, k, seen.errs[k],
					 (int)seen.versions[k]);
		}
		/* One more is in work while the loader closes. */
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
