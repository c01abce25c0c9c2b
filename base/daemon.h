/**
 * @file daemon.h
 * What the daemons' mains share: command line, settings, signals.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "base/base.h"

enum {
	DAEMON_CONTINUE = -1, /* go on; else it is the exit status */
	DAEMON_TICK_MS = 20,
};

/**
 * Read the command line (--settings FILE, repeatable; --print-settings;
 * --debug) and the settings, block the signals, open the log.
 * @return DAEMON_CONTINUE, or the exit status: 0, or 2 after an error was
 * printed.
 */
int daemon_start(const char *name, int argc, char **argv, settings_t *s);
/** Wait for SIGTERM or SIGINT. */
void daemon_wait(void);
/** Log why it can't start. @return the exit status 1. */
int daemon_fail(const err_t *e);

#endif
