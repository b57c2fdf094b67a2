#include "cmd_peer_key.h"

#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "exit_codes.h"

/* Z85 encodes 32 bytes in 40 characters; zmq_curve_keypair() adds a NUL. */
#define KEY_TEXT_BYTES 41

int cmd_peerkey(int argc, char **argv)
{
	char public[KEY_TEXT_BYTES], secret[KEY_TEXT_BYTES];

	if (argc == 2 && !strcmp(argv[1], "--help")) {
		printf("usage: currantpaddle peerkey\n"
		       "prints \"public_key\" and \"secret_key\" for the "
		       "\"peer\" object of the settings\n");
		return EXITS_OK;
	}
	if (argc > 1) {
		fprintf(stderr, "usage: currantpaddle peerkey\n");
		return EXITS_USAGE;
	}
	if (zmq_curve_keypair(public, secret)) {
		fprintf(stderr,
			"peerkey: this ZeroMQ library was built without "
			"CURVE support\n");
		return EXITS_FAILURE;
	}
	printf("\"public_key\": \"%s\", \"secret_key\": \"%s\"\n", public,
	       secret);
	return EXITS_OK;
}
