/**
 * @file daemon_settings.h
 * The settings file that the platform hands to a daemon.
 */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include "base/base.h"

typedef struct sitefile {
	const char *instance, *ip, *domain;
	const char *const *domains;	      /* all, up to NULL */
	const char *caller, *ready, *entries; /* addresses */
	int peer_port;			      /* and the one after it */
	const char *store;
	double cpu_share;
} sitefile_t;

/** @return YAML text, g_malloc'd */
char *sitefile_text(const sitefile_t *f);

#endif
