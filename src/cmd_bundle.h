#ifndef CMD_BUNDLE_H
#define CMD_BUNDLE_H

/*
 * "currantpaddle bundle SUBCOMMAND ..."; argv[1] names the subcommand. Returns
 * an exit code of exit_codes.h.
 */
int cmd_bundle(int argc, char **argv);

#endif
