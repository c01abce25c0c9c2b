#include "standin/client_request.h"

#include <glib.h>
#include <string.h>

static void
on_head(void *u, http_conn_t *k)
{
	client_request_t *p = u;
	GString *t = g_string_new(NULL);
	int i;

	p->status = (int)k->parser.status_code;
	for (i = 0; i < k->head.nfield; i++)
		g_string_append_printf(t, "%s: %s\n", head_name(&k->head, i),
		    head_value(&k->head, i));
	g_free(p->headers);
	p->headers = g_string_free(t, FALSE);
}

static void
on_body(void *u, http_conn_t *k, const char *bytes, size_t n)
{
	client_request_t *p = u;

	(void)k;
	if (p->first_byte_at == 0)
		p->first_byte_at = clock_now(&machine_clock);
	buf_add(&p->body, bytes, n);
}

static void
report_end(client_request_t *p)
{
	if (p->ended_at != 0)
		return;
	p->ended_at = clock_now(&machine_clock);
	if (p->fn != NULL)
		p->fn(p->arg, p);
}

static void
on_done(void *u, http_conn_t *k)
{
	client_request_t *p = u;

	(void)k;
	p->done = true;
	report_end(p);
}

static void
on_end(void *u, http_conn_t *k, http_end_t why)
{
	client_request_t *p = u;

	(void)k, (void)why;
	p->closed = true;
	p->http = NULL;
	report_end(p);
}

static const http_conn_ops_t ops = {
	.head = on_head, .body = on_body, .done = on_done, .end = on_end
};

client_request_t *
client_request_open(loop_t *l, const char *addr, const char *bytes,
    client_request_fn *fn, void *arg)
{
	client_request_t *p = g_new0(client_request_t, 1);
	struct sockaddr_in sa;

	p->loop = l;
	p->fn = fn;
	p->arg = arg;
	p->started_at = clock_now(&machine_clock);
	if (net_addr(addr, &sa) == 0)
		p->http = http_conn_connect(l, &sa, &ops, p);
	if (p->http == NULL) {
		g_free(p);
		return NULL;
	}
	buf_str(&p->http->out, bytes);
	return p;
}

void
client_request_close(client_request_t *p)
{
	if (p->http != NULL)
		http_conn_close(p->http);
	p->http = NULL;
}

void
client_request_free(client_request_t *p)
{
	client_request_close(p);
	buf_free(&p->body);
	g_free(p->headers);
	loop_free_later(p->loop, p);
}

char *
client_request_body(const client_request_t *p)
{
	return g_strndup(p->body.p != NULL ? p->body.p + p->body.off : "",
	    buf_len(&p->body));
}
