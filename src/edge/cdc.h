#ifndef CDC_H
#define CDC_H

#include "edge.h"
#include "mpk.h"
#include "srv.h"

/*
 * MessagePack encoding of backend servers' rows and of the whole state of a VM,
 * which edge VMs exchange.
 */

void codec_put_change(struct mpk_writer *out, const struct srv_change *change);
/* The id is a view into the input. */
void codec_get_change(struct mpk_reader *in, struct srv_change *change);
/* Fills a change from what the table of servers holds of a server. */
void codec_fill_change(const struct edge *e, const struct srv_row *s,
		       struct srv_change *change);
/* Updates the table of servers from a change. */
void codec_apply_change(struct edge *e, const struct srv_change *change);

/*
 * State of a VM: the configuration, unless the receiver has this version or a
 * newer one, and all servers.
 */
void codec_write_state(const struct edge *e, uint64_t peer_config_version,
		       struct strbuf *out);
/*
 * Takes over the configuration of a state if it is newer, and the servers
 * unless they are older. ERR_INVALID for malformed input: what precedes the
 * fault may have been applied, but no server is taken for missing.
 */
enum err codec_apply_state(struct edge *e, struct str bytes);

#endif
