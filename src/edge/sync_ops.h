#ifndef SYNC_OPS_H
#define SYNC_OPS_H

#include <stdbool.h>
#include <stdint.h>

/* What store_sync needs of the store and of other VMs. */

struct sync_notice;
struct vm_row;

/* Reads of the store. They end with sync_config_done() or sync_servers_done(),
 * after sync_on_change() for each row of the servers' table. */
struct sync_store_ops {
	/* Begin a read of all rows if after is 0, else of the changes after
	 * that version; the store holds a read of the configuration for up to
	 * wait_ns until there is a change. */
	void (*read_config)(void *ctx, uint64_t after, int64_t wait_ns);
	void (*read_servers)(void *ctx, uint64_t after);
	/* Cancels a read of the configuration; its result is not reported. */
	void (*cancel_config)(void *ctx);
	void *ctx;
};

/* What is fetched from a peer. */
enum sync_part {
	/* The configuration, for a VM that has state. */
	SYNC_CONFIG,
	/* The configuration and the servers. */
	SYNC_STATE,
	SYNC_PARTS,
};

enum sync_fetch_result {
	SYNC_FETCHED,
	/* The peer refused, as it has no state or too much to send. */
	SYNC_FETCH_BUSY,
	SYNC_FETCH_FAILED,
};

struct sync_peer_ops {
	/* Sends a change notice to a VM, or to all peers if that is NULL; false
	 * if it does not fit a message. */
	bool (*send_notice)(void *ctx, const struct sync_notice *n,
			    const struct vm_row *to);
	/* Begins to fetch a part from a VM. It is applied before the fetch ends
	 * with sync_fetch_done(). */
	void (*fetch)(void *ctx, enum sync_part part, const struct vm_row *from,
		      int64_t timeout_ns);
	void *ctx;
};

#endif
