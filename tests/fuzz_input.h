#ifndef FUZZ_INPUT_H
#define FUZZ_INPUT_H

#include <stddef.h>
#include <stdint.h>

#include "timer.h"

/* Derives test data from a fuzzer's input; zeros follow its end. */
struct fuzz_input {
	const uint8_t *ptr;
	size_t len;
};

static inline uint8_t fuzz_byte(struct fuzz_input *f)
{
	if (!f->len)
		return 0;
	f->len--;
	return *f->ptr++;
}

static inline uint32_t fuzz_below(struct fuzz_input *f, uint32_t bound)
{
	return fuzz_byte(f) % bound;
}

static inline uint64_t fuzz_u64(struct fuzz_input *f)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < 8; i++)
		n = n << 8 | fuzz_byte(f);
	return n;
}

/* A number that is often small or at the limit of a type. */
static inline uint64_t fuzz_number(struct fuzz_input *f)
{
	uint8_t kind = fuzz_byte(f);

	if (kind < 160)
		return kind % 16;
	if (kind < 200)
		return fuzz_byte(f);
	if (kind < 225)
		return fuzz_u64(f);
	if (kind < 240)
		return UINT64_MAX;
	return INT64_MAX;
}

/* A duration that is not negative, sometimes beyond the limit of messages. */
static inline int64_t fuzz_duration(struct fuzz_input *f)
{
	uint8_t kind = fuzz_byte(f);

	if (kind < 120)
		return kind * 20 * NS_PER_MS;
	if (kind < 200)
		return fuzz_byte(f) * NS_PER_S;
	if (kind < 225)
		return (int64_t)(fuzz_u64(f) >> 1);
	return INT64_MAX;
}

#endif
