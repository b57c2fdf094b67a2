#include "output_buffer.h"

/* Sent bytes that are kept, so that they are not removed after each send. */
#define MAX_SENT_BYTES 65536

void out_remove_sent(struct strbuf *out, size_t *sent)
{
	if (*sent == out->len) {
		strbuf_free(out);
		strbuf_init(out);
	} else if (*sent > MAX_SENT_BYTES) {
		strbuf_remove(out, *sent);
	} else {
		return;
	}
	*sent = 0;
}
