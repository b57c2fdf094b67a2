#ifndef CORE_H
#define CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "bundle.h"
#include "hash_index.h"
#include "peer_messages.h"
#include "core_rows.h"
#include "counted_string.h"
#include "entity_table.h"
#include "timer.h"

/*
 * State of one entry VM and the entry points of its decision modules. Events
 * are passed in with the current time and actions are carried out through
 * core_ops; the core does not depend on sockets, HTTP, JSON or ZeroMQ. One
 * thread owns a core. The modules work on columns of its tables, whose rows are
 * declared in core_rows.h.
 */

/* Why a request is refused. A refused request has not been run. */
enum core_refusal {
	CORE_REFUSE_NO_BUNDLE,
	CORE_REFUSE_NO_ROUTE,
	CORE_REFUSE_QUEUE_FULL,
	CORE_REFUSE_DEADLINE,
	CORE_REFUSE_NO_CAPACITY,
	CORE_REFUSE_LEAVING,
	CORE_REFUSE_CLAIM_UNAVAILABLE,
};

/* How an attempt at a backend server ended. */
enum core_outcome {
	CORE_DONE_OK,
	/* Load shed: the server declared that it did not run the request. */
	CORE_DONE_SHED,
	/* Complete response with a status that counts as a failure (5xx). */
	CORE_DONE_STATUS,
	/* No connection to the backend server. */
	CORE_DONE_CONNECT,
	/* Connection broken or response invalid, before a byte was relayed. */
	CORE_DONE_RESET,
	/* Connection broken or response invalid, after a part was relayed. */
	CORE_DONE_TRUNCATED,
	CORE_DONE_TIMEOUT,
	/*
	 * The caller disconnected, or its body was malformed or too slow; no
	 * evidence about the backend server.
	 */
	CORE_DONE_CALLER_ERROR,
	/* Cancelled with core_ops.cancel, to try another backend server. */
	CORE_DONE_ATTEMPT_CANCELLED,
};

/* A new request of a caller. */
struct core_arrive {
	/* Opaque to the core; passed back to core_ops callbacks. */
	void *owner;
	uint64_t id;
	/*
	 * A key and not a row: the worker thread may have found the route in
	 * the previous bundle.
	 */
	uint64_t service;
	uint64_t team;
	bool idempotent;
	/* The whole request is buffered and can be sent again. */
	bool replayable;
	int64_t deadline_ns;
	/* Set to the handle before any callback about the request. */
	struct hnd *handle;
	/* Idempotency key; empty without one. */
	struct str key;
	/*
	 * Hash of method, target and body, to detect a key that is used again
	 * for a different request.
	 */
	uint64_t fingerprint;
};

enum core_recorded_state {
	/* The response is recorded and is replayed. */
	CORE_RECORDED_RESPONSE,
	CORE_RECORDED_IN_PROGRESS,
	CORE_RECORDED_UNKNOWN,
	/* The key was used for a different request. */
	CORE_RECORDED_MISMATCH,
};

/* Recorded result of an earlier request with the same idempotency key. */
struct core_recorded {
	enum core_recorded_state state;
	int status;
	struct str body;
};

/* End of an attempt. */
struct core_done {
	enum core_outcome outcome;
	/*
	 * No byte was sent to the server, or it declared that it did not run
	 * the request.
	 */
	bool not_run;
	/*
	 * The whole request can be sent again and no byte of a response has
	 * been sent to the caller.
	 */
	bool replayable;
	/* From the Retry-After header; 0 without one. */
	int64_t retry_after_ns;
	/* The server announced that it is draining. */
	bool draining;
	/* Response to record for an idempotency key; body may be truncated. */
	int status;
	struct str body;
	/*
	 * Bytes of request and response, for the accounting of the link between
	 * regions.
	 */
	uint64_t bytes;
};

/* An attempt: a backend server with a slot for the request. */
struct core_assign {
	struct hnd req;
	void *owner;
	struct hnd backend;
	uint64_t backend_key;
	/* Valid only during the call. */
	struct str host;
	uint16_t port;
	/* Limit of idle connections kept to this backend server. */
	uint32_t max_connections;
	bool remote_region;
	uint32_t attempt;
};

/* One entry of the decision log. */
struct core_decision {
	/* "route", "refuse", "eject", "reinstate", "grant", "allocator" ... */
	const char *event;
	uint64_t request;
	struct str service;
	struct str backend;
	struct str vm;
	uint32_t candidates;
	const char *reason;
	int64_t value;
};

enum core_plat_op {
	/* Read a row. */
	CORE_PLAT_GET,
	/*
	 * Compare-and-swap: write a row if its version is expect; 0 stands for
	 * an absent row.
	 */
	CORE_PLAT_CAS,
	CORE_PLAT_GET_OBJECT,
	CORE_PLAT_PUT_OBJECT,
	CORE_PLAT_LIST,
	CORE_PLAT_PUT_VM,
};

struct core_plat_reply;

/* An asynchronous call of the platform. */
struct core_plat_call {
	enum core_plat_op op;
	struct str key;
	struct str value;
	uint64_t expect;
	/* Called on the core thread with the reply. */
	void (*done)(void *ctx, const struct core_plat_reply *reply);
	void *ctx;
	/* Returned in the reply, so that the module can ignore stale ones. */
	uint64_t tag;
};

/* An entry of the platform's list of VMs. */
struct core_vm_listed {
	struct str id;
	bool leaving;
};

struct core_plat_reply {
	/*
	 * ERR_OK, ERR_NOT_FOUND, ERR_CONFLICT (the row has another version),
	 * ERR_UNREACHABLE (not sent) or ERR_UNKNOWN (may have taken effect).
	 */
	int err;
	uint64_t tag;
	/* Row or object; on ERR_CONFLICT the current row if it is known. */
	struct str value;
	uint64_t version;
	const struct core_vm_listed *vms;
	uint32_t vm_count;
};

struct core_ops {
	/* Send the request to this backend server. */
	void (*assign)(void *ctx, const struct core_assign *assign);
	void (*refuse)(void *ctx, struct hnd req, void *owner,
		       enum core_refusal why, int64_t retry_after_ns);
	/* Respond to a request with a known idempotency key. */
	void (*respond)(void *ctx, struct hnd req, void *owner,
			const struct core_recorded *recorded);
	/* Send to the peer socket at host and port; never blocks, may drop. */
	void (*send)(void *ctx, struct str host, uint16_t port,
		     const struct msg *m);
	void (*plat)(void *ctx, const struct core_plat_call *call);
	/* Send a health probe; core_on_probe() receives the result. */
	void (*probe)(void *ctx, struct hnd backend, struct str host,
		      uint16_t port, struct str path);
	void (*decision)(void *ctx, const struct core_decision *decision);
	/* Cancel the running attempt; core_on_done() is still called for it. */
	void (*cancel)(void *ctx, struct hnd req, void *owner);
	/*
	 * A newer signed bundle has arrived from the platform or a peer. The
	 * callee copies it and verifies signatures and content, during the call
	 * or later. It then calls core_on_bundle() and rol_set_active(), or
	 * rol_on_rejected() with the version given here, which is the one that
	 * the sender announced.
	 */
	void (*bundle)(void *ctx, int64_t version, struct str signed_text);
	/* Uniform random number, for gossip targets and jitter. */
	uint64_t (*random)(void *ctx);
};

struct det_policy;

struct core_opts {
	struct str id;
	uint64_t incarnation;
	struct str region;
	struct str zone;
	struct str cell;
	struct str caller_host;
	uint16_t caller_port;
	struct str peer_host;
	uint16_t peer_port;
	const struct core_ops *ops;
	void *ops_ctx;
	/* Rules of the outlier detection; see outlier_detection.h. */
	const struct det_policy *policy;
	/* No platform and no peers: this VM is the whole fleet. */
	bool standalone;
};

struct core {
	struct core_opts opts;
	int64_t now;
	int64_t last_tick_ns;
	struct tmr tmr;
	/*
	 * Active bundle, called "in force" in the log and in responses; NULL
	 * before the first.
	 */
	const struct bndl *bundle;
	/* This VM's region and zone in the bundle; UINT32_MAX if unknown. */
	uint32_t region;
	uint32_t zone;
	/* Planned stop announced to the fleet; requests are still served. */
	bool leaving;
	/*
	 * All address responses that list this VM have expired; new requests
	 * are refused.
	 */
	bool refusing;
	/* Tables; see core_rows.h. */
	struct tab services;
	struct tab shards;
	struct tab backends;
	struct tab reqs;
	struct tab grants;
	struct tab holders;
	struct tab reports;
	struct tab members;
	struct tab silences;
	/*
	 * Handles of shards for which this VM is the allocator, holds slots or
	 * has demand.
	 */
	struct tab live_shards;
	/* det: shards with evidence of any VM. */
	struct tab evidence_shards;
	/* det: backend servers with evidence of this VM. */
	struct tab evidence_backends;
	/* det: observers of the shard that is being scored. */
	struct tab observers;
	/* det: next update of the ages in the evidence of this VM. */
	int64_t ages_due_ns;
	/* det: a report consumed evidence, so its ages must be recomputed. */
	bool ages_stale;
	/* det: earliest score_due_ns of core.evidence_shards; last scoring. */
	int64_t score_due_ns;
	int64_t scored_ns;
	/* drn: bundle whose drain settings have been applied, its version. */
	const struct bndl *drain_bundle;
	int64_t drain_version;
	/* Handles of rows by key. */
	struct idx service_by_key;
	struct idx backend_by_key;
	struct idx member_by_key;
	/* Key of this VM in grants, reports and members. */
	uint64_t self_key;
	/* Buffer in which modules build a message for core_send(). */
	struct msg out;
	/* Sequence number of the last message sent. */
	uint64_t out_seq;
	/* alc: tag of the last platform call. */
	uint64_t plat_tag;
	/* alc: next check of leases and their expiry. */
	int64_t alc_due_ns;
	/* rtry: next check of running attempts. */
	int64_t rtry_due_ns;
	/* alc: the bundle has changed since the last grants (standalone). */
	bool grant_all;
	/* hold: next scan of the live shards (standalone). */
	int64_t hold_scan_due_ns;
	/* Private state of modules, allocated by their init functions. */
	struct mbr *mbr;
	struct rol *rol;
	struct clm *clm;
	struct lnk *lnk;
	struct adm *adm;
};

void core_init(struct core *c, const struct core_opts *opts, int64_t now_ns);
void core_free(struct core *c);

/*
 * Events. Each advances the clock. All but the progress events of an attempt
 * (core_on_sent(), core_on_body(), core_on_first_byte()) end with a tick unless
 * the event is ignored.
 */
void core_on_bundle(struct core *c, const struct bndl *b, int64_t now_ns);
void core_on_arrive(struct core *c, const struct core_arrive *arrive,
		    int64_t now_ns);
/* The first byte of the request was sent to the backend server. */
void core_on_sent(struct core *c, struct hnd req, int64_t now_ns);
/*
 * A streamed request body begins or has ended. Without these events the whole
 * request counts as sent at core_on_sent().
 */
void core_on_body(struct core *c, struct hnd req, bool ended, int64_t now_ns);
/* The first byte of the response has arrived. */
void core_on_first_byte(struct core *c, struct hnd req, int64_t now_ns);
/*
 * The attempt ended. Returns true if the request is queued for a retry at
 * another backend server, false if it is finished.
 */
bool core_on_done(struct core *c, struct hnd req, const struct core_done *done,
		  int64_t now_ns);
/* The caller disconnected; false if the request was not queued any more. */
bool core_on_caller_disconnected(struct core *c, struct hnd req,
				 int64_t now_ns);
void core_on_msg(struct core *c, const struct msg *m, int64_t now_ns);
void core_on_probe(struct core *c, struct hnd backend, bool ok, bool draining,
		   int64_t latency_ns, int64_t now_ns);
/* First step of a planned stop: announce it, but keep serving. */
void core_on_leave(struct core *c, int64_t now_ns);
/* Second step of a planned stop: refuse new requests as not run. */
void core_on_refuse_new(struct core *c, int64_t now_ns);
/* Runs timers and periodic work that are due. */
void core_tick(struct core *c, int64_t now_ns);
/* Longer without a tick than a running VM ever is: the VM was suspended. */
bool core_was_paused(const struct core *c);
/* Time of the next tick; TMR_NEVER if none is needed. */
int64_t core_next_due(const struct core *c);

/* Helpers for the decision modules. Lookups return NULL for unknown names. */
struct svc_row *core_service(struct core *c, uint64_t key);
struct shard_row *core_shard(struct core *c, uint64_t service, uint32_t region);
struct shard_row *core_shard_named(struct core *c, uint64_t service,
				   struct str region);
struct hnd core_shard_handle(const struct core *c,
			     const struct shard_row *shard);
struct backend_row *core_backend(struct core *c, uint64_t key);
struct member_row *core_member(struct core *c, struct str id);
void core_log_decision(struct core *c, const struct core_decision *d);
/* Sends c->out, in which the module has set kind and body, to a member. */
void core_send(struct core *c, const struct member_row *to);

#endif
