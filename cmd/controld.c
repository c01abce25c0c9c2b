/* controld: membership, brokering, planning and operators' HTTP on an entry
 * instance. See controld(8). */
#include "base/daemon.h"
#include "control/control.h"
#include "operator/operator.h"
#include "store/platform.h"
#include "peer/peer.h"

#include <stdlib.h>

enum {
	MIN_LEAVE_MS = 3000, /* time for entries to learn of the stop */
};

/** The parts of a controld, in the order in which they start. */
typedef struct control {
	audit_t *audit;
	claims_t *claims;
	node_t *node;
	follower_t *follower;
	planner_t *planner;
	operator_server_t *operator_server;
} control_t;

static bool
start(control_t *c, const settings_t *s, err_t *e)
{
	node_opts_t no = { .settings = s, .clock = &machine_clock };
	claims_opts_t co = {
		.settings = s, .clock = &machine_clock, .done = node_claim_done
	};
	follower_opts_t fo = { .settings = s };
	planner_opts_t po = { .settings = s, .clock = &machine_clock };
	operator_server_opts_t oo = { .settings = s };

	c->audit = audit_new(s, e);
	if (c->audit == NULL)
		return false;
	no.audit = po.audit = oo.audit = c->audit;
	c->node = node_new(&no, e);
	if (c->node == NULL)
		return false;
	co.user = fo.node = po.node = oo.node = c->node;
	c->claims = claims_new(&co, e);
	if (c->claims == NULL)
		return false;
	node_set_claims(c->node, c->claims);
	c->follower = follower_new(&fo, e);
	c->planner = planner_new(&po, e);
	c->operator_server = operator_server_new(&oo, e);
	return c->follower != NULL && c->planner != NULL &&
	       c->operator_server != NULL;
}

/* The planner stops before the node: it releases its lease while stopping. */
static void
stop(control_t *c)
{
	if (c->operator_server != NULL)
		operator_server_free(c->operator_server);
	if (c->planner != NULL)
		planner_free(c->planner);
	if (c->follower != NULL)
		follower_free(c->follower);
	if (c->node != NULL)
		node_set_claims(c->node, NULL);
	if (c->claims != NULL)
		claims_free(c->claims);
	if (c->node != NULL)
		node_free(c->node);
	if (c->audit != NULL)
		audit_free(c->audit);
}

int
main(int argc, char **argv)
{
	settings_t settings;
	control_t c = { 0 };
	err_t e = { 0 };
	ms_t now, leaving_since, end;
	int rc = daemon_start("controld", argc, argv, &settings);

	if (rc != DAEMON_CONTINUE)
		return rc;
	if (!start(&c, &settings, &e)) {
		stop(&c);
		return daemon_fail(&e);
	}
	log_event(LOG_NOTICE, "started", "peer_addr=%s operator_addr=%s",
	    settings.instance.peer_addr, settings.instance.operator_addr);
	daemon_wait();
	leaving_since = clock_now(&machine_clock);
	end = leaving_since + settings.caller.drain_ms;
	node_leave(c.node);
	/* The instance's entryd may still settle claims and release slots. */
	do {
		clock_sleep(DAEMON_POLL_MS);
		now = clock_now(&machine_clock);
	} while (now < end && (now - leaving_since < MIN_LEAVE_MS ||
				  node_entry_conns(c.node) > 0));
	log_event(
	    LOG_NOTICE, "stopped", "after_ms=%" PRId64, now - leaving_since);
	stop(&c);
	return EXIT_SUCCESS;
}
