/**
 * @file daemon_settings.h
 * The settings file that the platform hands to a daemon.
 */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include "base/base.h"

typedef struct daemon_settings {
	const char *instance, *ip, *domain;
	const char *const *domains;	      /* all, up to NULL */
	const char *caller, *ready, *entries; /* addresses */
	int peer_port;			      /* and the one after it */
	const char *store;
	double cpu_share;
} daemon_settings_t;

/** @return YAML text, g_malloc'd */
char *daemon_settings_yaml(const daemon_settings_t *f);

#endif
