/* entryd: serves callers over HTTP on an entry instance. See entryd(8). */
#include "base/daemon.h"
#include "entry/entry.h"

#include <stdlib.h>

int
main(int argc, char **argv)
{
	settings_t settings;
	entry_opts_t o = { .settings = &settings };
	entry_t *en;
	err_t e = { 0 };
	ms_t end;
	int rc = daemon_start("entryd", argc, argv, &settings);

	if (rc != DAEMON_CONTINUE)
		return rc;
	o.incarnation = (uint64_t)clock_wall();
	en = entry_new(&o, &e);
	if (en == NULL)
		return daemon_fail(&e);
	log_event(LOG_NOTICE, "started", "caller_addr=%s",
	    settings.instance.caller_addr);
	daemon_wait();
	entry_drain(en);
	end = clock_now(&machine_clock) + settings.caller.drain_ms;
	while (!entry_drained(en) && clock_now(&machine_clock) < end)
		clock_sleep(DAEMON_POLL_MS);
	log_event(LOG_NOTICE, "stopped", "drained=%s",
	    entry_drained(en) ? "yes" : "no");
	entry_free(en);
	return EXIT_SUCCESS;
}
