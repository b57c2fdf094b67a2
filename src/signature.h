#ifndef SIGNATURE_H
#define SIGNATURE_H

#include <stdint.h>

#include "error_code.h"
#include "counted_string.h"

#define SIG_PUBLIC_BYTES 32
#define SIG_SECRET_BYTES 64
#define SIG_BYTES 64

/*
 * Ed25519 signatures (libsodium). As text, keys and signatures are written in
 * lower-case hex.
 */
struct sig_public_key {
	uint8_t bytes[SIG_PUBLIC_BYTES];
};

struct sig_keypair {
	struct sig_public_key public;
	uint8_t secret[SIG_SECRET_BYTES];
};

/* Must be called before any other function; aborts on failure. */
void sig_setup(void);
void sig_keygen(struct sig_keypair *pair);
void sig_sign(const struct sig_keypair *pair, struct str body,
	      uint8_t out[SIG_BYTES]);
/* ERR_REFUSED if the signature is not valid for this key and body. */
enum err sig_verify(const struct sig_public_key *key, struct str body,
		    const uint8_t sig[SIG_BYTES]);
/* Decodes hex digits; ERR_INVALID unless they give exactly size bytes. */
enum err sig_from_hex(struct str hex, uint8_t *out, size_t size);
void sig_add_hex(struct strbuf *out, const uint8_t *bytes, size_t size);
/* Derives the public key from the secret key. */
void sig_keypair_from_secret(struct sig_keypair *pair);

#endif
