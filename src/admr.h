#ifndef ADMR_H
#define ADMR_H

#include <stdbool.h>

#include "err.h"
#include "str.h"

struct json_object;

/* Body of POST /v1/stop: names either a VM, or a service and one of its backend
 * servers. */
struct admr_stop {
	/* Owns the memory of the strings. */
	struct json_object *root;
	struct str vm;
	struct str service;
	struct str backend;
	/* Ends the drain of the backend server instead of starting it. */
	bool undo;
};

/*
 * ERR_INVALID unless text is exactly one JSON object that names one target and
 * has members of the right types. The caller must call admr_stop_free() in
 * every case.
 */
enum err admr_stop_parse(struct admr_stop *s, struct str text);
void admr_stop_free(struct admr_stop *s);

#endif
