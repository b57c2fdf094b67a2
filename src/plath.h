#ifndef PLATH_H
#define PLATH_H

#include "plat.h"

/*
 * Platform over HTTP, as in docs/design.md, section 8. ERR_UNREACHABLE only
 * when nothing was sent; ERR_UNKNOWN when a write may have taken effect.
 */
enum err plath_open(struct plat_driver *out, struct str host, uint16_t port,
		    struct str vm_id);

#endif
