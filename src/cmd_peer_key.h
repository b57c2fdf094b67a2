#ifndef CMD_PEER_KEY_H
#define CMD_PEER_KEY_H

/*
 * "currantpaddle peerkey": prints a CURVE key pair for the settings of a VM.
 * Returns an exit code of exit_codes.h.
 */
int cmd_peerkey(int argc, char **argv);

#endif
