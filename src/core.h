#ifndef CORE_H
#define CORE_H

#include <stdbool.h>
#include <stdint.h>

#include "bndl.h"
#include "idx.h"
#include "msg.h"
#include "rows.h"
#include "str.h"
#include "tab.h"
#include "tmr.h"

/*
 * Decision state of one entry VM. Events and the time go in, actions come out
 * through core_ops; nothing here knows of sockets, HTTP, JSON or ZeroMQ. One
 * thread owns a core. The modules work on columns of its tables; see rows.h.
 */

/* Why a request is refused; every refusal means that it was not run. */
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
	/* The server declared that it did not run the request. */
	CORE_DONE_SHED,
	/* Complete answer with a status that counts as failure (5xx). */
	CORE_DONE_STATUS,
	CORE_DONE_CONNECT,
	CORE_DONE_RESET,
	CORE_DONE_CUT,
	CORE_DONE_TIMEOUT,
	/* The caller went away; no evidence about the backend server. */
	CORE_DONE_CANCELLED,
	/* The core gave the attempt up by core_ops.cancel, to try another
	 * backend server. */
	CORE_DONE_ABANDONED,
};

struct core_arrive {
	void *owner;
	uint64_t id;
	/* Service by key, since front threads may see another bundle. */
	uint64_t service;
	uint64_t team;
	bool idempotent;
	/* The whole request is at hand and can be sent again. */
	bool replayable;
	int64_t deadline_ns;
	/* Receives the handle before any callback about the request. */
	struct hnd *handle;
	/* Idempotency key; empty without one. */
	struct str key;
	/* Hash of method, target and body: one key names one request. */
	uint64_t fingerprint;
};

enum core_recorded_state {
	CORE_RECORDED_ANSWER,
	CORE_RECORDED_IN_PROGRESS,
	CORE_RECORDED_UNKNOWN,
	/* The key was used for another request. */
	CORE_RECORDED_MISMATCH,
};

/* What is known of an earlier request with the same idempotency key. */
struct core_recorded {
	enum core_recorded_state state;
	int status;
	struct str body;
};

struct core_done {
	enum core_outcome outcome;
	/* No byte reached the server, or it declared that it did not run it. */
	bool not_run;
	/* The whole request can be sent again and the caller has seen nothing
	 * of an answer. */
	bool replayable;
	/* From a Retry-After header; 0 when there was none. */
	int64_t retry_after_ns;
	/* The server announced that it is draining. */
	bool draining;
	/* Answer to record for an idempotency key; body may be cut short. */
	int status;
	struct str body;
	/* Bytes of request and answer, for the account of the paid link. */
	uint64_t bytes;
};

struct core_assign {
	struct hnd req;
	void *owner;
	struct hnd backend;
	uint64_t backend_key;
	/* Address views are valid during the call. */
	struct str host;
	uint16_t port;
	/* Idle connections that may be kept to this backend server. */
	uint32_t max_connections;
	bool remote_region;
	uint32_t attempt;
};

/* One line of the decision log. */
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
	/* Write a row if its version is expect; 0 means that it is absent. */
	CORE_PLAT_CAS,
	CORE_PLAT_GET_OBJECT,
	CORE_PLAT_PUT_OBJECT,
	CORE_PLAT_LIST,
	CORE_PLAT_PUT_VM,
};

struct core_plat_reply;

/* What a module asks the platform; answered by core_on_plat(). */
struct core_plat_call {
	enum core_plat_op op;
	struct str key;
	struct str value;
	uint64_t expect;
	/* Hands the answer to the module that asked. */
	void (*done)(void *ctx, const struct core_plat_reply *reply);
	void *ctx;
	/* Returned in the reply; tells stale answers from current ones. */
	uint64_t tag;
};

struct core_vm_listed {
	struct str id;
	bool leaving;
};

struct core_plat_reply {
	/*
	 * ERR_OK, ERR_NOT_FOUND, ERR_CONFLICT (row has another version),
	 * ERR_UNREACHABLE (not sent) or ERR_UNKNOWN (may have taken effect).
	 */
	int err;
	uint64_t tag;
	/* Row or object; the winner's row on ERR_CONFLICT when known. */
	struct str value;
	uint64_t version;
	const struct core_vm_listed *vms;
	uint32_t vm_count;
};

struct core_ops {
	/* The request may be sent to this backend server now. */
	void (*assign)(void *ctx, const struct core_assign *assign);
	void (*refuse)(void *ctx, struct hnd req, void *owner,
		       enum core_refusal why, int64_t retry_after_ns);
	/* A request with a used idempotency key is answered without running. */
	void (*answer)(void *ctx, struct hnd req, void *owner,
		       const struct core_recorded *recorded);
	/* host and port of the peer socket; never blocks, may drop. */
	void (*send)(void *ctx, struct str host, uint16_t port,
		     const struct msg *m);
	void (*plat)(void *ctx, const struct core_plat_call *call);
	/* Probe path of a backend server; answered by core_on_probe(). */
	void (*probe)(void *ctx, struct hnd backend, struct str host,
		      uint16_t port, struct str path);
	void (*decision)(void *ctx, const struct core_decision *decision);
	/* Stop the running attempt of a request; it will report its end. */
	void (*cancel)(void *ctx, struct hnd req, void *owner);
	/*
	 * A newer signed bundle has arrived from the platform or a peer. The
	 * receiver copies it and checks signatures and content, at once or
	 * later. It then calls core_on_bundle() and rol_in_force(), or
	 * rol_refused() with the version given here, which the sender named.
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
	const struct det_policy *policy;
	/* True without platform and peers: this VM is the whole fleet. */
	bool standalone;
};

struct core {
	struct core_opts opts;
	int64_t now;
	int64_t last_tick_ns;
	struct tmr tmr;
	const struct bndl *bundle;
	uint32_t region;
	uint32_t zone;
	/* Announced to the fleet; requests are still served. */
	bool leaving;
	/* Every address answer that named this VM has run out. */
	bool refusing;
	struct tab services;
	struct tab shards;
	struct tab backends;
	struct tab reqs;
	struct tab grants;
	struct tab holders;
	struct tab reports;
	struct tab members;
	struct tab silences;
	/* Handles of shards that this VM allocates, holds or wants. */
	struct tab live_shards;
	/* det: shards with evidence; servers with evidence of this VM. */
	struct tab evidence_shards;
	struct tab evidence_backends;
	struct tab observers;
	int64_t ages_due_ns;
	/* det: a report took evidence, so the ages in it are to be renewed. */
	bool ages_stale;
	/* det: earliest score_due_ns of core.evidence_shards; last scoring. */
	int64_t score_due_ns;
	int64_t scored_ns;
	/* drn: bundle whose drain marks are applied. */
	const struct bndl *drain_bundle;
	int64_t drain_version;
	struct idx service_by_key;
	struct idx backend_by_key;
	struct idx member_by_key;
	/* Key of this VM in grants, reports and members. */
	uint64_t self_key;
	struct msg out;
	uint64_t out_seq;
	uint64_t plat_tag;
	/* alc: next time that leases and expiry are checked. */
	int64_t alc_due_ns;
	/* rtry: next time that running attempts are looked at. */
	int64_t rtry_due_ns;
	/* alc: a bundle came into force since the last grants (standalone). */
	bool grant_all;
	/* hold: next look at the live shards (standalone). */
	int64_t hold_scan_due_ns;
	/* State of single modules, allocated by their init function. */
	struct mbr *mbr;
	struct rol *rol;
	struct clm *clm;
	struct lnk *lnk;
	struct adm *adm;
};

void core_init(struct core *c, const struct core_opts *opts, int64_t now_ns);
void core_free(struct core *c);

/* Events. Each advances the time and ends with a tick. */
void core_on_bundle(struct core *c, const struct bndl *b, int64_t now_ns);
void core_on_arrive(struct core *c, const struct core_arrive *arrive,
		    int64_t now_ns);
/* First byte of the request went to the backend server. */
void core_on_sent(struct core *c, struct hnd req, int64_t now_ns);
/*
 * The body of a request begins or has ended. Without these events the whole
 * request counts as sent at core_on_sent().
 */
void core_on_body(struct core *c, struct hnd req, bool ended, int64_t now_ns);
void core_on_first_byte(struct core *c, struct hnd req, int64_t now_ns);
/*
 * The attempt ended. Returns true when the request is queued again for another
 * backend server, false when it is over.
 */
bool core_on_done(struct core *c, struct hnd req, const struct core_done *done,
		  int64_t now_ns);
/* The caller went away; false when the request was no longer queued. */
bool core_on_caller_gone(struct core *c, struct hnd req, int64_t now_ns);
void core_on_msg(struct core *c, const struct msg *m, int64_t now_ns);
void core_on_probe(struct core *c, struct hnd backend, bool ok, bool draining,
		   int64_t latency_ns, int64_t now_ns);
/* Planned stop, first step: tell the fleet, serve on. */
void core_on_leave(struct core *c, int64_t now_ns);
/* Planned stop, second step: refuse new requests as not run. */
void core_on_refuse(struct core *c, int64_t now_ns);
/* Runs what is due without an event. */
void core_tick(struct core *c, int64_t now_ns);
/* The time since the last tick is longer than this VM ever sleeps. */
bool core_was_paused(const struct core *c);
int64_t core_next_due(const struct core *c);

/* Helpers for the decision modules. */
struct svc_row *core_service(struct core *c, uint64_t key);
struct shard_row *core_shard(struct core *c, uint64_t service, uint32_t region);
struct shard_row *core_shard_named(struct core *c, uint64_t service,
				   struct str region);
struct hnd core_shard_handle(const struct core *c,
			     const struct shard_row *shard);
struct backend_row *core_backend(struct core *c, uint64_t key);
struct member_row *core_member(struct core *c, struct str id);
void core_log_decision(struct core *c, const struct core_decision *d);
/* Sends c->out, filled by the caller, to a member. */
void core_send(struct core *c, const struct member_row *to);

#endif
