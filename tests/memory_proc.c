#include "tests/control.h"

#include <glib.h>
#include <signal.h>

enum {
	MEMORY_MB = 1000,
	SETTLE_MS = 30000, /* bound on waits; not a figure to be met */
};

typedef struct want {
	rig_t *r;
	const char *item;
	uint64_t version;
	int least, most;
} want_t;

static bool
is_there(void *user)
{
	want_t *w = user;
	int n = rig_ready(w->r, w->item, w->version);

	return n >= w->least && n <= w->most;
}

static void
await(rig_t *r, const char *item, uint64_t version, int least, int most)
{
	want_t w = { r, item, version, least, most };

	if (!eventually(is_there, &w, SETTLE_MS))
		g_error("%s version %d: %d copies ready, not %d to %d", item,
		    (int)version, rig_ready(r, item, version), least, most);
}

static const char first_note[] = "[note]\nid = first\nbase = 0\n"
				 "[add model a]\nservice = llm\nversion = 1\n"
				 "memory_mb = 600\n"
				 "[add model b]\nservice = llm\nversion = 1\n"
				 "memory_mb = 500\n"
				 "[add adapter x]\nmodel = a\nversion = 1\n"
				 "memory_mb = 50\n";
/* On two workers a's new version fits only once beside b. */
static const char second_note[] = "[note]\nid = second\nbase = 1\n"
				  "[change model b]\nversion = 2\n"
				  "[withdraw adapter x]\nreason = old\n";

static void
notes_are_loaded(gconstpointer arg)
{
	rig_t *r = rig_start(2, 3, MEMORY_MB, GPOINTER_TO_INT(arg));

	rig_control(r, 0);
	rig_control(r, 1);
	g_assert_cmpint(rig_note(r, 0, first_note), ==, 1);
	await(r, "a", 1, 1, 3);
	await(r, "b", 1, 1, 3);
	await(r, "x", 1, 1, 3);
	g_assert_cmpint(rig_note(r, 1, second_note), ==, 2);
	await(r, "b", 2, 1, 3);
	await(r, "b", 1, 0, 0);
	await(r, "x", 1, 0, 0);
	rig_check_memory(r);
	rig_stop(r);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_data_func("/memory/notes-are-loaded/fenced",
	    GINT_TO_POINTER(1), notes_are_loaded);
	g_test_add_data_func("/memory/notes-are-loaded/unfenced",
	    GINT_TO_POINTER(0), notes_are_loaded);
	return g_test_run();
}
