/* ebonypitchd: the daemon of an instance; serves calls. See ebonypitchd(8). */
#include "serve/serve.h"

#include <malloc.h>
#include <stdlib.h>
#include <glib.h>

enum {
	LARGE_BLOCK = 128 << 10, /* bytes */
};

static gboolean check;
static gchar *path;

static const GOptionEntry options[] = {
	{ "settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
	    "Settings file, overrides the environment", "FILE" },
	{ "check", 'c', 0, G_OPTION_ARG_NONE, &check,
	    "Check the settings and exit", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

int
main(int argc, char **argv)
{
	GOptionContext *ctx = g_option_context_new("- serve calls");
	GError *ge = NULL;
	err_t e = { 0 };
	serve_t *s;
	instance_conf_t conf;

	g_option_context_add_main_entries(ctx, options, NULL);
	if (!g_option_context_parse(ctx, &argc, &argv, &ge)) {
		fprintf(stderr, "ebonypitchd: %s\n", ge->message);
		return 2;
	}
	g_option_context_free(ctx);
	if (path == NULL)
		path = g_strdup(instance_conf_path());
	if (path == NULL) {
		fprintf(stderr, "ebonypitchd: no settings file given\n");
		return 2;
	}
	if (check) {
		if (instance_conf_read(&conf, path, &e) == 0)
			return EXIT_SUCCESS;
		fprintf(stderr, "ebonypitchd: %s: %s\n", path, e.text);
		return EXIT_FAILURE;
	}
	/*
	 * What large bodies took goes back to the system at once: the process
	 * is killed for what it holds, used or not.
	 */
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK);
	mallopt(M_TRIM_THRESHOLD, 2 * LARGE_BLOCK);
	log_set_buffered();
	s = serve_new(path, &e);
	if (s == NULL) {
		log_event(LOG_CRIT, "start-failed", "code=%s why=\"%s\"",
		    err_name(e.code), e.text);
		log_flush();
		return EXIT_FAILURE;
	}
	serve_run(s);
	return EXIT_SUCCESS;
}
