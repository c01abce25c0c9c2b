#include "base/daemon.h"

#include <signal.h>
#include <stdlib.h>
#include <pthread.h>
#include <glib.h>

enum {
	EXIT_USAGE = 2
};

static void
block_signals(sigset_t *set)
{
	sigemptyset(set);
	sigaddset(set, SIGTERM);
	sigaddset(set, SIGINT);
	pthread_sigmask(SIG_BLOCK, set, NULL);
	/* A write to a closed connection fails with EPIPE instead. */
	signal(SIGPIPE, SIG_IGN);
}

static int
read_files(char **files, settings_t *s, bool check)
{
	char *report = NULL;
	err_t e;
	int i, bad = 0;

	settings_init(s);
	for (i = 0; files != NULL && files[i] != NULL; i++) {
		if (settings_read(s, files[i], &report, &e) == -1) {
			fprintf(stderr, "%s", report);
			free(report);
			bad = EXIT_USAGE;
		}
	}
	if (bad == 0 && check && settings_check(s, &report, &e) == -1) {
		fprintf(stderr, "%s", report);
		free(report);
		bad = EXIT_USAGE;
	}
	return bad;
}

int
daemon_start(const char *name, int argc, char **argv, settings_t *s)
{
	char **files = NULL;
	gboolean print = FALSE, debug = FALSE;
	GOptionEntry options[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME_ARRAY, &files,
		    "read settings; a later file overrides an earlier one",
		    "FILE" },
		{ "print-settings", 0, 0, G_OPTION_ARG_NONE, &print,
		    "print all settings as they would be used and exit", NULL },
		{ "debug", 0, 0, G_OPTION_ARG_NONE, &debug,
		    "log debug messages too", NULL },
		{ NULL, 0, 0, G_OPTION_ARG_NONE, NULL, NULL, NULL },
	};
	GOptionContext *context = g_option_context_new(NULL);
	GError *why = NULL;
	sigset_t set;
	int bad;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &why) || argc > 1) {
		fprintf(stderr, "%s: %s\n", name,
		    why != NULL ? why->message : "unexpected argument");
		g_clear_error(&why);
		g_option_context_free(context);
		return EXIT_USAGE;
	}
	g_option_context_free(context);
	bad = read_files(files, s, !print);
	g_strfreev(files);
	if (bad != 0)
		return bad;
	if (print) {
		settings_print(s, stdout);
		return EXIT_SUCCESS;
	}
	block_signals(&set);
	log_open(name, s->instance.id, s->instance.domain);
	if (debug)
		log_level(LOG_DEBUG);
	return DAEMON_CONTINUE;
}

void
daemon_wait(void)
{
	sigset_t set;
	int sig;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	while (sigwait(&set, &sig) != 0)
		;
}

int
daemon_fail(const err_t *e)
{
	char text[ERR_TEXT_MAX + 16];

	log_event(LOG_ERR, "cannot_start", "code=%s why=%s", err_name(e->code),
	    log_quote(text, sizeof(text), e->text));
	return EXIT_FAILURE;
}
