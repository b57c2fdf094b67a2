#ifndef PLATH_H
#define PLATH_H

#include "plat.h"

/*
 * Driver for a platform over HTTP; docs/design.md, section 8, describes the
 * protocol. A call ends with ERR_UNREACHABLE only when nothing was sent, and
 * with ERR_UNKNOWN when a write may have taken effect.
 */
enum err plath_open(struct plat_driver *out, struct str host, uint16_t port,
		    struct str vm_id);

#endif
