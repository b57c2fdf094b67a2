#ifndef PEER_MESSAGES_H
#define PEER_MESSAGES_H

#include <stdbool.h>
#include <stdint.h>

#include "counted_string.h"

/*
 * Typed messages between entry VMs. peer_codec.c encodes them; decision modules
 * use only these structs. Strings of a received message are views into its
 * bytes and are valid only during the call that passes the message. Times are
 * ages or durations in nanoseconds, so that VMs need no common clock.
 *
 * A shard is the backend servers of one service in one region. One VM is its
 * allocator and leases their slots to holders, which are VMs that send requests
 * to them. A holder that reports evidence for the outlier detection is called
 * an observer. The shard's epoch is incremented when its allocator changes.
 */
#define MSG_MAX_MEMBERS 64
#define MSG_MAX_ITEMS 512
#define MSG_MAX_ALLOCATORS 64
#define MSG_MAX_HEARTBEATS 64
#define MSG_MAX_PART_BYTES 65536

enum msg_kind {
	/* Membership, anti-entropy: any VM to any VM. */
	MSG_GOSSIP = 1,
	/* Holder to allocator, or to a candidate for allocator. */
	MSG_LEASE_REQUEST,
	/* Allocator to holder. */
	MSG_GRANT,
	/* Evidence for the outlier detection, observer to allocator. */
	MSG_REPORT,
	/* Holder to allocator: acknowledges a grant, gives slots back. */
	MSG_RELEASE,
	/*
	 * Asks a VM for a lease request, and for a report as well if the sender
	 * is the allocator.
	 */
	MSG_QUERY,
	MSG_BUNDLE_GET,
	MSG_BUNDLE_PART,
	MSG_KIND_END,
};

enum msg_member_state {
	MSG_MEMBER_ALIVE,
	MSG_MEMBER_LEAVING,
	MSG_MEMBER_GONE,
};

/* Record about a VM, issued by that VM and relayed by the others. */
struct msg_member {
	struct str id;
	/* Start time of the process; a newer one supersedes the record. */
	uint64_t incarnation;
	uint64_t heartbeat;
	struct str region;
	struct str zone;
	/* Group of entry VMs that share allocators. */
	struct str cell;
	struct str caller_host;
	uint16_t caller_port;
	struct str peer_host;
	uint16_t peer_port;
	uint8_t state;
	/* Requests in flight and queued. */
	uint32_t load;
	int64_t bundle_version;
	/* Time since the member issued it, as known to the sender. */
	int64_t age_ns;
	/*
	 * Number of members from which the member has recently received
	 * messages directly. A low number indicates an inbound partition.
	 */
	uint32_t heard_count;
};

/* Heartbeat without the record, for receivers that probably have the record. */
struct msg_heartbeat {
	/* Hash of id and incarnation. */
	uint32_t tag;
	uint64_t heartbeat;
	/* As in struct msg_member; the codec rounds it up to 25 ms. */
	int64_t age_ns;
};

/* Allocator of a shard, as known to the sender. */
struct msg_allocator {
	uint64_t service;
	struct str region;
	struct str vm;
	uint64_t epoch;
	/* Time since the last message from it; INT64_MAX for never. */
	int64_t silent_ns;
};

struct msg_gossip {
	struct msg_member members[MSG_MAX_MEMBERS];
	uint32_t member_count;
	struct msg_allocator allocators[MSG_MAX_ALLOCATORS];
	uint32_t allocator_count;
	struct msg_heartbeat heartbeats[MSG_MAX_HEARTBEATS];
	uint32_t heartbeat_count;
};

/* Slots of a backend server that a holder has leased. */
struct msg_share {
	uint64_t backend;
	uint16_t slots;
	uint16_t in_flight;
	/* Longest remaining time of a request that runs on these slots. */
	int64_t busy_ns;
};

/* Requests a lease on slots and lists those held; also answers a query. */
struct msg_lease_request {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	/* The holder's clock at sending; echoed in the grant. */
	int64_t sent_ns;
	uint16_t wanted;
	uint16_t queued;
	/* Sequence number of the newest grant that the holder has applied. */
	uint64_t applied_seq;
	/* Time since the allocator's last message; INT64_MAX for never. */
	int64_t silent_ns;
	struct msg_share held[MSG_MAX_ITEMS];
	uint32_t held_count;
	/* Ejected backend servers known to the holder, for a new allocator. */
	uint64_t ejected[MSG_MAX_ITEMS];
	uint32_t ejected_count;
};

enum msg_backend_state {
	MSG_BACKEND_ACTIVE,
	MSG_BACKEND_EJECTED,
	MSG_BACKEND_DRAINING,
	/* Limited traffic after an ejection. */
	MSG_BACKEND_TRIAL,
};

struct msg_grant_item {
	uint64_t backend;
	/* Slots that the holder may use; a lower number is a recall. */
	uint16_t slots;
	uint8_t state;
};

/* Complete list of the slots granted to a holder, never a difference. */
struct msg_grant {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	uint64_t seq;
	/* sent_ns of the lease request that this answers; 0 if unsolicited. */
	int64_t echo_ns;
	int64_t ttl_ns;
	/*
	 * Number of holders that wait for a slot. While there are any, the
	 * others release their idle slots at once.
	 */
	uint16_t waiting;
	struct msg_grant_item items[MSG_MAX_ITEMS];
	uint32_t item_count;
};

enum msg_failure {
	MSG_FAIL_TIMEOUT,
	MSG_FAIL_RESET,
	MSG_FAIL_TRUNCATED,
	MSG_FAIL_STATUS,
	MSG_FAIL_CONNECT,
	MSG_FAIL_KINDS,
};

/* Evidence of an observer about a backend server, since its last report. */
struct msg_evidence {
	uint64_t backend;
	/* Requests sent that wait for the first byte of their responses. */
	uint16_t in_flight;
	uint16_t done;
	uint16_t failed[MSG_FAIL_KINDS];
	uint16_t shed;
	/* Age of the oldest request in flight without a first byte. */
	int64_t oldest_ns;
	/* Sum of the times to first byte of done requests. */
	int64_t latency_sum_ns;
	/* Requests that wait for the first byte beyond the observer's limit. */
	uint16_t stalled;
	/* Time since the last successful response; 0 without one. */
	int64_t ok_age_ns;
	/*
	 * Source of the backend server's drain, as known to the observer:
	 * enum drn_source + 1, or 0 if it is not draining.
	 */
	uint8_t drain;
};

struct msg_report {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	struct msg_evidence items[MSG_MAX_ITEMS];
	uint32_t item_count;
};

/* Acknowledges a grant and lists the slots that the holder keeps. */
struct msg_release {
	uint64_t service;
	struct str region;
	uint64_t epoch;
	/* Newest grant applied; recalls up to it have taken effect. */
	uint64_t applied_seq;
	struct msg_share held[MSG_MAX_ITEMS];
	uint32_t held_count;
};

struct msg_query {
	uint64_t service;
	struct str region;
	/* Newest epoch that the sender knows. */
	uint64_t epoch;
};

/* Requests a part of a bundle from a peer. */
struct msg_bundle_get {
	int64_t version;
	uint32_t offset;
};

struct msg_bundle_part {
	int64_t version;
	uint32_t offset;
	uint32_t total;
	struct str bytes;
};

struct msg {
	enum msg_kind kind;
	/* Id of the sending VM and its incarnation. */
	struct str from;
	uint64_t incarnation;
	/* Number of the sender's message, to detect replays. */
	uint64_t seq;
	union {
		struct msg_gossip gossip;
		struct msg_lease_request lease_request;
		struct msg_grant grant;
		struct msg_report report;
		struct msg_release release;
		struct msg_query query;
		struct msg_bundle_get bundle_get;
		struct msg_bundle_part bundle_part;
	} u;
};

#endif
