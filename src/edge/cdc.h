#ifndef CDC_H
#define CDC_H

#include "edge.h"
#include "mpk.h"
#include "srv.h"

/*
 * MessagePack encoding of backend servers' rows and of the whole state of a VM,
 * which edge VMs exchange.
 */

void cdc_put_row(struct mpk_writer *out, const struct cdc_row *row);
/* The id is a view into the input. */
void cdc_get_row(struct mpk_reader *in, struct cdc_row *row);
/* Fills a row from what the table of servers holds of a server. */
void cdc_fill_row(const struct edge *e, const struct srv_row *s,
		  struct cdc_row *row);
/* Updates the table of servers from a row. */
void cdc_apply_row(struct edge *e, const struct cdc_row *row);

/*
 * State of a VM: the configuration, unless the receiver has this version or a
 * newer one, and all servers.
 */
void cdc_write_state(const struct edge *e, uint64_t peer_config_version,
		     struct strbuf *out);
/*
 * Takes over the configuration of a state if it is newer, and the servers
 * unless they are older. ERR_INVALID for malformed input: what precedes the
 * fault may have been applied, but no server is taken for missing.
 */
enum err cdc_apply_state(struct edge *e, struct str bytes);

#endif
