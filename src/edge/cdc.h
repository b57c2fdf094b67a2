#ifndef CDC_H
#define CDC_H

#include "edge.h"
#include "mpk.h"
#include "srv.h"

/*
 * Codec of what VMs pass to each other besides news: backend servers' rows
 * and the whole state of a VM, in MessagePack.
 */

void cdc_put_row(struct mpk_writer *out, const struct cdc_row *row);
/* The id is a view into the bytes that are read. */
void cdc_get_row(struct mpk_reader *in, struct cdc_row *row);
/* What is known of a server, as its row said it. */
void cdc_describe(const struct edge *e, const struct srv_row *s,
		  struct cdc_row *row);
/* Applies a row to the table of servers. */
void cdc_apply(struct edge *e, const struct cdc_row *row);

/*
 * State: the configuration unless the asker has one as new, and all servers.
 * ERR_INVALID leaves what is in force as it is.
 */
void cdc_write_state(const struct edge *e, uint64_t asker_config,
		     struct strbuf *out);
enum err cdc_read_state(struct edge *e, struct str bytes);

#endif
