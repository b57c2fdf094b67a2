#ifndef SETT_H
#define SETT_H

#include "arn.h"
#include "cfg.h"
#include "sig.h"

#define SETT_MAX_SEEDS 64
#define SETT_MAX_TOKENS 32
#define SETT_MAX_KEYS 16

enum sett_right {
	SETT_RIGHT_READ = 1,
	SETT_RIGHT_SUBMIT = 2,
	SETT_RIGHT_STOP = 4,
};

enum sett_detector {
	SETT_DETECT_SHARED,
	SETT_DETECT_UNSHARED,
	SETT_DETECT_CONSECUTIVE_ERRORS,
	SETT_DETECT_NONE,
};

struct sett_addr {
	struct str host;
	int64_t port;
};

struct sett_token {
	struct str name;
	struct str token;
	unsigned rights;
};

/* Settings of one entry VM; strings live in arena. */
struct sett {
	struct arn arena;
	struct str id;
	struct str region;
	struct str zone;
	/* Group of VMs that shares allocators; the region when not given. */
	struct str cell;
	struct sett_addr caller;
	struct sett_addr admin;
	struct sett_addr peer;
	/* Where others reach this VM; the bound addresses when not given. */
	struct sett_addr caller_advertise;
	struct sett_addr peer_advertise;
	/* CURVE keys of the fleet in Z85; empty turns CURVE off. */
	struct str peer_public;
	struct str peer_secret;
	struct sett_addr seeds[SETT_MAX_SEEDS];
	size_t seed_count;
	/* Platform address; an empty host selects the in-process platform. */
	struct sett_addr platform;
	struct sett_token tokens[SETT_MAX_TOKENS];
	size_t token_count;
	/* /metrics needs no token. */
	bool metrics_open;
	struct sig_public_key keys[SETT_MAX_KEYS];
	size_t key_count;
	int64_t signatures_needed;
	/* Signed bundle to start with; optional. */
	struct str bundle_file;
	int64_t log_level;
	bool log_decisions;
	int64_t detector;
	int64_t caller_threads;
	int64_t address_ttl_ns;
};

/*
 * Reads and checks a settings file. On ERR_INVALID, errors holds one line for
 * each fault. sett_free() is due in every case.
 */
enum err sett_load(struct sett *s, struct str file, struct strbuf *errors);
/* The same for text; file names it in errors. */
enum err sett_parse(struct sett *s, struct str file, struct str text,
		    struct strbuf *errors);
void sett_free(struct sett *s);

#endif
