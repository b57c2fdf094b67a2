#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "peer_codec.h"

/*
 * libFuzzer target. Guards against reads out of bounds and against decoded
 * messages that change when they are encoded and decoded again. It compares
 * encoded bytes, since the strings of decoded messages are views into different
 * buffers.
 */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct msg first;
	static struct msg second;
	struct strbuf a, b;
	struct str input = {(const char *)data, size};

	if (wire_decode(input, &first))
		return 0;
	strbuf_init(&a);
	strbuf_init(&b);
	wire_encode(&first, &a);
	if (wire_decode(strbuf_view(&a), &second))
		abort();
	wire_encode(&second, &b);
	if (!str_eq(strbuf_view(&a), strbuf_view(&b)))
		abort();
	strbuf_free(&a);
	strbuf_free(&b);
	return 0;
}
