#ifndef CMD_BUNDLE_SHOW_H
#define CMD_BUNDLE_SHOW_H

/* "currantpaddle bundle show"; returns an exit code of exit_codes.h. */
int cmd_bundle_show(int argc, char **argv);

#endif
