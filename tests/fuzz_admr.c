#include <stdint.h>
#include <stdlib.h>

#include "admr.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * libFuzzer target: body of POST /v1/stop. Guards against reads out of bounds,
 * leaks, and accepted requests that name both a VM and a backend server, or
 * neither.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct admr_stop s;

	if (!admr_stop_parse(&s, text) &&
	    !s.vm.len == !(s.service.len && s.backend.len))
		abort();
	admr_stop_free(&s);
	return 0;
}
