#include <stdint.h>
#include <stdlib.h>

#include "admin_stop_request.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/*
 * libFuzzer target: body of POST /v1/stop. Guards against reads out of bounds,
 * leaks, and accepted requests that name both a VM and a backend server, or
 * neither.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct stop_request s;

	if (!stop_request_parse(&s, text) &&
	    !s.vm.len == !(s.service.len && s.backend.len))
		abort();
	stop_request_free(&s);
	return 0;
}
