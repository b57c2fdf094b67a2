#include <stdint.h>
#include <stdlib.h>

#include "entry_settings.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * libFuzzer target: the text of a settings file. Guards against reads out of
 * bounds, leaks, errors without a message, and values outside their bounds.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct strbuf errors;
	struct sett s;

	strbuf_init(&errors);
	if (sett_parse(&s, STR("f"), text, &errors)) {
		if (!errors.len)
			abort();
	} else if (errors.len || !s.id.len || !s.cell.len ||
		   s.caller.port < 1 || s.caller.port > 65535 ||
		   s.signatures_needed < 1 ||
		   s.signatures_needed > (int64_t)s.bundle_key_count) {
		abort();
	}
	sett_free(&s);
	strbuf_free(&errors);
	return 0;
}
