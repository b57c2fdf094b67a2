#include "signature.h"

#include <sodium.h>
#include <stdlib.h>

_Static_assert(SIG_PUBLIC_BYTES == crypto_sign_PUBLICKEYBYTES, "key size");
_Static_assert(SIG_SECRET_BYTES == crypto_sign_SECRETKEYBYTES, "key size");
_Static_assert(SIG_BYTES == crypto_sign_BYTES, "signature size");

void sig_setup(void)
{
	if (sodium_init() < 0)
		abort();
}

void sig_keygen(struct sig_keypair *pair)
{
	crypto_sign_keypair(pair->public.bytes, pair->secret);
}

void sig_sign(const struct sig_keypair *pair, struct str body,
	      uint8_t out[SIG_BYTES])
{
	crypto_sign_detached(out, NULL, (const unsigned char *)body.ptr,
			     body.len, pair->secret);
}

enum err sig_verify(const struct sig_public_key *key, struct str body,
		    const uint8_t sig[SIG_BYTES])
{
	if (crypto_sign_verify_detached(sig, (const unsigned char *)body.ptr,
					body.len, key->bytes))
		return ERR_REFUSED;
	return ERR_OK;
}

enum err sig_from_hex(struct str hex, uint8_t *out, size_t size)
{
	size_t n;

	if (hex.len != 2 * size ||
	    sodium_hex2bin(out, size, hex.ptr, hex.len, NULL, &n, NULL) ||
	    n != size)
		return ERR_INVALID;
	return ERR_OK;
}

void sig_add_hex(struct strbuf *out, const uint8_t *bytes, size_t size)
{
	size_t i;

	for (i = 0; i < size; i++)
		strbuf_addf(out, "%02x", bytes[i]);
}

void sig_keypair_from_secret(struct sig_keypair *pair)
{
	crypto_sign_ed25519_sk_to_pk(pair->public.bytes, pair->secret);
}
