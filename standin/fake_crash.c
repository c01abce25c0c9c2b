/* Crashes and restarts of a fake endpoint. */
#include "standin/fake_endpoint_state.h"

#include <stdlib.h>
#include <string.h>

/* End the process: its connections close, and it forgets what it held. */
static void
go_down(fake_endpoint_t *ep)
{
	guint i;

	for (i = 0; i < ep->server.conns->len; i++)
		endpoint_server_ops.end(ep->server.conns->pdata[i]);
	http_server_close(&ep->server);
	g_ptr_array_set_size(ep->models, 0);
	ep->down = true;
}

static void
go_up(void *arg)
{
	fake_endpoint_t *ep = arg;
	int64_t now = clock_wall();

	if (ep->model[0] != '\0')
		endpoint_add_model(ep, ep->model);
	ep->seq = 0;
	ep->born = now > ep->born ? now : ep->born + 1;
	ep->down = false;
	http_server_open(
	    &ep->server, ep->server.loop, ep->addr, &endpoint_server_ops, ep);
	endpoint_notify_change(ep);
}

void
fake_endpoint_restart(fake_endpoint_t *ep, const char *version)
{
	go_down(ep);
	str_set(ep->version, ID_MAX, version);
	go_up(ep);
}

void
fake_endpoint_crash(fake_endpoint_t *ep, ms_t down)
{
	if (ep->down)
		return;
	go_down(ep);
	ep->crashes++;
	ep->up_alarm = (alarm_t){ .fn = go_up, .arg = ep };
	alarm_set(ep->server.loop, &ep->up_alarm, ep->server.loop->now + down);
}

void
fake_endpoint_set_crash_part(fake_endpoint_t *ep, uint64_t part, ms_t down)
{
	ep->crash_part = part;
	ep->crash_down_ms = down;
}

void
fake_endpoint_set_crash_request(
    fake_endpoint_t *ep, const char *target, const char *body, ms_t down)
{
	str_set(ep->crash_target, sizeof(ep->crash_target),
	    target != NULL ? target : "");
	str_set(ep->crash_body, sizeof(ep->crash_body), body);
	ep->crash_down_ms = down;
}

void
fake_endpoint_set_crash_event(fake_endpoint_t *ep, int64_t event)
{
	ep->crash_event = event;
}

int
fake_endpoint_crashes(const fake_endpoint_t *ep)
{
	return ep->crashes;
}

bool
fake_endpoint_has_part(const executed_call_t *r, uint64_t part)
{
	const char *p = strstr(r->headers, "\nPrompt-Prefix: ");
	char *end;

	if (p == NULL || part == 0)
		return false;
	p += strlen("\nPrompt-Prefix: ");
	for (;;) {
		uint64_t id = strtoull(p, &end, 16);

		p = end + strcspn(end, ",\n");
		if (*p != ',')
			return false;
		if (id == part)
			return true;
		p++;
	}
}

bool
fake_endpoint_is_request(
    const executed_call_t *r, const char *target, const char *body)
{
	size_t n = strlen(target);

	return n > 0 && strncmp(r->headers, target, n) == 0 &&
	       r->headers[n] == '\n' && strcmp(r->body, body) == 0;
}

/* Does the run crash its endpoint now, as it begins or goes on? */
static bool
crashes_now(const endpoint_conn_t *c, bool begins)
{
	const fake_endpoint_t *ep = endpoint_of(c);

	if (begins && fake_endpoint_has_part(c->call, ep->crash_part))
		return true;
	return (begins || ep->engine) && c->next_event >= ep->crash_event &&
	       fake_endpoint_is_request(
		   c->call, ep->crash_target, ep->crash_body);
}

bool
endpoint_run_goes_on(endpoint_conn_t *c)
{
	fake_endpoint_t *ep = endpoint_of(c);
	bool begins = !c->began;

	c->began = true;
	if (!crashes_now(c, begins))
		return true;
	fake_endpoint_crash(ep, ep->crash_down_ms);
	return false;
}
