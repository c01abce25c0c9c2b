#include "standin/daemon_settings.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static const char limits_text[] =
    "heartbeat_ms: 1200\nbounds:\n  drain_ms: 2000\n  grace_s: 4\n"
    "  config_apply_ms: 2000\n  stability_window_ms: 3000\n"
    "  lease_ms: 3000\n  ceiling_window_s: 5\n  ceiling_over: 1.1\n"
    "  budget_ratio: 0.2\n  budget_extra_tries: 54\n"
    "  budget_window_s: 10\n  ttl_max_s: 5\n  require_fencing: false\n";

char *
daemon_settings_ip(const char *store, int i)
{
	int port = atoi(strrchr(store, ':') + 1);

	return g_strdup_printf("127.%d.%d.%d", port >> 8, port & 0xff, i + 1);
}

char *
daemon_settings_yaml(const daemon_settings_t *f)
{
	GString *t = g_string_new(NULL);
	int i;

	g_string_append_printf(t,
	    "node_name: \"%s\"\nip: \"%s\"\nzone: \"%s\"\nregion: \"r\"\n"
	    "zones:\n",
	    f->instance, f->ip, f->domain);
	for (i = 0; f->domains[i] != NULL; i++)
		g_string_append_printf(t, "  %s: \"r\"\n", f->domains[i]);
	g_string_append_printf(t,
	    "listen:\n  front: \"%s\"\n  ready: \"%s\"\n  directory: \"%s\"\n"
	    "internal_ports:\n  - %d\n  - %d\n",
	    f->caller, f->ready, f->entries, f->peer_port, f->peer_port + 1);
	g_string_append_printf(
	    t, "bootstrap: %s\n", f->bootstrap ? "true" : "false");
	g_string_append_printf(t,
	    "limits:\n  cpu_share: %g\n  memory_mb: %d\n  max_fds: %d\n",
	    f->cpu_share, f->memory_mb != 0 ? f->memory_mb : 260,
	    f->max_fds != 0 ? f->max_fds : 4100);
	g_string_append(t, limits_text);
	/* The last field is unknown to the daemons, which must ignore it. */
	g_string_append_printf(t,
	    "platform:\n  address: \"%s\"\n  history_s: 20\n"
	    "a_field_of_tomorrow: 1\n",
	    f->store);
	return g_string_free(t, FALSE);
}

void
daemon_settings_end_bootstrap(const char *path)
{
	GString *t;
	char *text;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, NULL))
		return;
	t = g_string_new_len(text, (gssize)len);
	if (g_string_replace(t, "bootstrap: true", "bootstrap: false", 1) > 0)
		g_file_set_contents(path, t->str, -1, NULL);
	g_string_free(t, TRUE);
	g_free(text);
}
