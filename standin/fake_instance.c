#include "standin/fake_instance.h"
#include "base/hash.h"
#include "serve/digest.pb-c.h"
#include "standin/http_server.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	TELL_INTERVAL_MS = 200,
	DIGEST_MAX = 512, /* bytes */
};

struct fake_instance {
	http_server_t server;
	loop_t *loop;
	char *name, *ip, *domain;
	struct sockaddr_in to[FAKE_INSTANCE_TELLS];
	int nto;
	int fd; /* of its datagrams */
	uint32_t sequence;
	alarm_t alarm;
	char *answer; /* NULL: none */
	bool close;
	GPtrArray *calls; /* char * */
};

static void
tell(void *arg)
{
	fake_instance_t *f = arg;
	Digest__Digest d = DIGEST__DIGEST__INIT;
	Digest__Identity id = DIGEST__IDENTITY__INIT;
	uint8_t bytes[DIGEST_MAX];
	size_t n;
	int i;

	alarm_set(f->loop, &f->alarm, f->loop->now + TELL_INTERVAL_MS);
	id.instance = f->name;
	id.ip = f->ip;
	id.domain = f->domain;
	id.caller_addr = f->ip;
	id.cpu_millis = 250;
	d.sender = hash_str(f->name, 0);
	d.incarnation = 1;
	d.sequence = ++f->sequence;
	d.ready = true;
	d.identity = &id;
	n = digest__digest__pack(&d, bytes);
	for (i = 0; i < f->nto; i++)
		if (sendto(f->fd, bytes, n, MSG_DONTWAIT,
			(struct sockaddr *)&f->to[i], sizeof(f->to[i])) == -1)
			continue; /* the next one makes up for it */
}

static void
record(fake_instance_t *f, const head_t *h)
{
	GString *text = g_string_new(head_target(h));
	int i;

	g_string_append_c(text, '\n');
	for (i = 0; i < h->nfield; i++)
		g_string_append_printf(
		    text, "%s: %s\n", head_name(h, i), head_value(h, i));
	g_ptr_array_add(f->calls, g_string_free(text, FALSE));
}

static void
on_request(server_conn_t *c)
{
	fake_instance_t *f = c->server->owner;
	const char *id = head_get(&c->http->head, "Request-Id"), *at;
	GString *text;

	record(f, &c->http->head);
	if (f->answer == NULL)
		return;
	text = g_string_new(NULL);
	at = strstr(f->answer, "%s");
	g_string_append_len(text, f->answer,
	    at != NULL ? at - f->answer : (gssize)strlen(f->answer));
	if (at != NULL) {
		g_string_append(text, id != NULL ? id : "");
		g_string_append(text, at + 2);
	}
	buf_add(&c->http->out, text->str, text->len);
	g_string_free(text, TRUE);
	http_conn_flush(c->http);
	if (f->close)
		server_conn_close(c);
	else if (!c->http->closed)
		http_conn_next(c->http);
}

static const http_server_ops_t ops = { .size = sizeof(server_conn_t),
	.done = on_request };

fake_instance_t *
fake_instance_new(loop_t *l, const fake_instance_opts_t *o)
{
	fake_instance_t *f = g_new0(fake_instance_t, 1);
	char *own = g_strdup_printf("%s:%d", o->ip, o->peer_port);
	err_t e = { 0 };

	f->loop = l;
	f->name = g_strdup(o->name);
	f->ip = g_strdup(o->ip);
	f->domain = g_strdup(o->domain);
	f->calls = g_ptr_array_new_with_free_func(g_free);
	for (; o->tell[f->nto] != NULL; f->nto++) {
		char *to =
		    g_strdup_printf("%s:%d", o->tell[f->nto], o->peer_port);

		net_addr(to, &f->to[f->nto]);
		g_free(to);
	}
	f->fd = net_datagram(own, &e);
	if (f->fd == -1)
		g_error("%s", e.text);
	http_server_open(&f->server, l, own, &ops, f);
	f->alarm = (alarm_t){ .fn = tell, .arg = f };
	tell(f);
	g_free(own);
	return f;
}

void
fake_instance_set_answer(fake_instance_t *f, const char *answer, bool close)
{
	g_free(f->answer);
	f->answer = g_strdup(answer);
	f->close = close;
}

const GPtrArray *
fake_instance_calls(const fake_instance_t *f)
{
	return f->calls;
}

void
fake_instance_free(fake_instance_t *f)
{
	alarm_stop(f->loop, &f->alarm);
	http_server_close(&f->server);
	close(f->fd);
	g_ptr_array_free(f->calls, TRUE);
	g_free(f->answer);
	g_free(f->name);
	g_free(f->ip);
	g_free(f->domain);
	g_free(f);
}
