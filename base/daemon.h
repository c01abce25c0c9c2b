/**
 * @file daemon.h
 * Start-up that all daemons share: command line, settings, signals.
 */
#ifndef DAEMON_H
#define DAEMON_H

#include "base/base.h"

enum {
	DAEMON_CONTINUE = -1, /* no exit status: the daemon runs on */
	DAEMON_POLL_MS = 20,  /* poll interval while a daemon stops */
};

/**
 * Parse the command line (--settings FILE, repeatable; --print-settings;
 * --debug), read the settings, block SIGTERM and SIGINT, and open the log.
 * @return DAEMON_CONTINUE, or the exit status: 0, or 2 after an error was
 * printed.
 */
int daemon_start(const char *name, int argc, char **argv, settings_t *s);
/** Wait for SIGTERM or SIGINT. */
void daemon_wait(void);
/** Log why the daemon can't start. @return the exit status 1. */
int daemon_fail(const err_t *e);

#endif
