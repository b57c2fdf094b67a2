#ifndef ZEROMQ_AUTHENTICATION_H
#define ZEROMQ_AUTHENTICATION_H

#include "error_code.h"

#include <stdint.h>

/* Length of a CURVE key, binary and in Z85 text. */
#define ZAP_KEY_BYTES 32
#define ZAP_KEY_Z85 40
#define ZAP_DOMAIN "fleet"

/*
 * Handler of the ZeroMQ Authentication Protocol (RFC 27). A thread decides on
 * the CURVE handshakes of a context and accepts one public key only, which is
 * that of the fleet.
 */
struct zap;

enum err zap_start(struct zap **out, void *zmq_ctx,
		   const uint8_t accepted[ZAP_KEY_BYTES]);
/* Joins the thread; call it after zmq_ctx_shutdown(), which ends the thread. */
void zap_stop(struct zap *z);
/* Number of rejected handshakes. */
uint64_t zap_rejected(const struct zap *z);

#endif
