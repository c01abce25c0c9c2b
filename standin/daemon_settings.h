/**
 * @file daemon_settings.h
 * The settings file that the platform hands to a daemon.
 */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include "base/base.h"

typedef struct daemon_settings {
	const char *instance, *ip, *domain;
	const char *const *domains;	      /* all, ended by NULL */
	const char *caller, *ready, *entries; /* addresses */
	int peer_port;			      /* the next port is used, too */
	const char *store;
	double cpu_share;	/* of a core */
	int memory_mb, max_fds; /* 0: 260 and 4,100 */
	bool bootstrap;		/* the whole system starts for the first time */
} daemon_settings_t;

/**
 * @return the IP of a store's daemon @p i, below 254, g_malloc'd. A daemon
 * needs its own, as it has ports that can't be chosen. The store's port, which
 * only one program has, keeps the daemons of several stores apart.
 */
char *daemon_settings_ip(const char *store, int i);
/** @return the settings as YAML text, g_malloc'd. */
char *daemon_settings_yaml(const daemon_settings_t *f);
/** Change the settings file of a daemon that has started to no bootstrap. */
void daemon_settings_end_bootstrap(const char *path);

#endif
