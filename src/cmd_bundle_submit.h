#ifndef CMD_BUNDLE_SUBMIT_H
#define CMD_BUNDLE_SUBMIT_H

/* "currantpaddle bundle submit"; returns an exit code of exit_codes.h. */
int cmd_bundle_submit(int argc, char **argv);

#endif
