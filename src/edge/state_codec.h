#ifndef STATE_CODEC_H
#define STATE_CODEC_H

#include "edge.h"
#include "messagepack.h"
#include "backend_server.h"

/*
 * MessagePack encoding of what edge VMs send to each other: changes of backend
 * servers, and the whole state of a VM.
 */

void codec_put_change(struct mpk_writer *out, const struct srv_change *change);
/* The id is a view into the input. */
void codec_get_change(struct mpk_reader *in, struct srv_change *change);
/* Fills a change from the current row of a server. */
void codec_fill_change(const struct edge *e, const struct srv_row *s,
		       struct srv_change *change);
/* Applies a change to the table of servers. */
void codec_apply_change(struct edge *e, const struct srv_change *change);

/*
 * Writes the state of this VM: the configuration, unless the receiver has this
 * version or a newer one, all servers, and those that said that they are
 * leaving.
 */
void codec_write_state(const struct edge *e, struct era_version peer_config,
		       struct strbuf *out);
/* Writes the configuration of this VM, unless the receiver has this version or
 * a newer one. */
void codec_write_config(const struct edge *e, struct era_version peer_config,
			struct strbuf *out);
/* Applies a configuration if it is newer; ERR_INVALID for malformed input. */
enum err codec_apply_config(struct edge *e, struct str bytes);
/*
 * Applies the configuration of a state if it is newer, and the servers unless
 * they are older; those of an earlier era only if this VM knows none. Applies
 * nothing and returns ERR_INVALID for malformed input, which includes bytes
 * after the state.
 */
enum err codec_apply_state(struct edge *e, struct str bytes);

#endif
