#ifndef INPUT_ARRIVALS_H
#define INPUT_ARRIVALS_H

#include <stddef.h>
#include <stdint.h>

/* Later bytes count as received with the last of these. */
#define ARR_MAX_MARKS 8

/*
 * When the bytes of an input buffer were received: a pipelined request that
 * waits in the buffer has its deadline and its objective from then on.
 */
struct arrivals {
	struct {
		/* Of the first byte that was received at that time. */
		size_t offset;
		int64_t ns;
	} marks[ARR_MAX_MARKS];
	size_t count;
};

/* Bytes are added at the end of a buffer of len bytes. */
void arr_add(struct arrivals *a, size_t len, int64_t now_ns);
/* n bytes are removed at the beginning, after which len are left. */
void arr_remove(struct arrivals *a, size_t n, size_t len);
/* When the first byte was received; now_ns for an empty buffer. */
int64_t arr_first(const struct arrivals *a, int64_t now_ns);

#endif
