#include "policy/leaving.h"

enum {
	CLOCK_SKEW_MS = 500, /* between an endpoint's clock and ours */
	DOUBT_MS = 30000,    /* an old copy of an entry is replaced by then */
};

void
leaving_say(leaving_t *l, const leaving_statement_t *said, ms_t now)
{
	if (l->said_at == 0 || said->started_at > l->said.started_at) {
		l->said = *said;
		l->said_at = l->shown_at = now;
	} else if (said->started_at == l->said.started_at &&
		   said->connected_at > l->said.connected_at) {
		l->said.connected_at = said->connected_at;
		l->shown_at = now;
	}
}

void
leaving_show(leaving_t *l, int64_t started_at, ms_t now)
{
	if (started_at == l->shown || started_at == l->said.started_at)
		return;
	l->shown = started_at;
	l->shown_at = now;
}

/* Did the incarnation begin after the connection of the statement was made? */
static bool
began_later(const leaving_statement_t *said, int64_t started_at)
{
	return started_at > said->started_at &&
	       started_at > said->connected_at + CLOCK_SKEW_MS;
}

bool
leaving_holds(const leaving_t *l, int64_t started_at, ms_t now)
{
	if (l->said_at == 0)
		return false;
	if (started_at == l->said.started_at)
		return true;
	return !began_later(&l->said, started_at) &&
	       now - l->shown_at < DOUBT_MS;
}

void
leaving_remember(leaving_memory_t *m, uint64_t endpoint, const leaving_t *l)
{
	if (l->said_at == 0)
		return;
	m->slot[m->next].endpoint = endpoint;
	m->slot[m->next].leaving = *l;
	m->next = (m->next + 1) % LEAVING_REMEMBERED_MAX;
}

leaving_t
leaving_recall(const leaving_memory_t *m, uint64_t endpoint)
{
	int i, at;

	/* The latest record counts. */
	for (i = 1; i <= LEAVING_REMEMBERED_MAX; i++) {
		at = (m->next - i + LEAVING_REMEMBERED_MAX) %
		     LEAVING_REMEMBERED_MAX;
		if (m->slot[at].endpoint == endpoint)
			return m->slot[at].leaving;
	}
	return (leaving_t){ 0 };
}
