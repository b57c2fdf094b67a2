#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include "error_code.h"
#include "peer_messages.h"

/* MessagePack codec for messages between entry VMs. */
#define WIRE_VERSION 1

/* Appends the encoded message to out. */
void wire_encode(const struct msg *m, struct strbuf *out);
/*
 * ERR_INVALID for an unknown version, a wrong type, a missing or extra element,
 * a list, string or number out of bounds, or trailing bytes. Strings of m are
 * views into bytes.
 */
enum err wire_decode(struct str bytes, struct msg *m);

#endif
