#include "input_arrivals.h"

void arr_add(struct arrivals *a, size_t len, int64_t now_ns)
{
	if (!len)
		a->count = 0;
	if (a->count == ARR_MAX_MARKS ||
	    (a->count && a->marks[a->count - 1].ns == now_ns))
		return;
	a->marks[a->count].offset = len;
	a->marks[a->count].ns = now_ns;
	a->count++;
}

void arr_remove(struct arrivals *a, size_t n, size_t len)
{
	size_t i, kept = 0;

	if (!len)
		a->count = 0;
	for (i = 0; i < a->count; i++) {
		size_t at = a->marks[i].offset;

		/* The last mark at or before the new beginning stays. */
		if (at <= n)
			kept = 0;
		a->marks[kept].offset = at <= n ? 0 : at - n;
		a->marks[kept++].ns = a->marks[i].ns;
	}
	a->count = kept;
}

int64_t arr_first(const struct arrivals *a, int64_t now_ns)
{
	return a->count ? a->marks[0].ns : now_ns;
}
