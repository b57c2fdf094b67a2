#ifndef CMD_PEERKEY_H
#define CMD_PEERKEY_H

/*
 * "currantpaddle peerkey": prints a CURVE key pair for the settings of a VM.
 * Returns an exit code of exits.h.
 */
int cmd_peerkey(int argc, char **argv);

#endif
