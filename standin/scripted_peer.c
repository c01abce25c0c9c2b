#include "standin/scripted_peer.h"
#include "standin/http_server.h"

#include <string.h>
#include <sys/socket.h>

typedef struct scripted_conn {
	server_conn_t conn;
	script_t script;
	bool begun;
} scripted_conn_t;

struct scripted_peer {
	http_server_t server;
	script_t script;
	int requests;
};

static void
end_connection(void *arg)
{
	scripted_conn_t *c = arg;
	struct linger hard = { 1, 0 };

	if (c->script.end == SCRIPT_RESET)
		setsockopt(c->conn.http->watch.fd, SOL_SOCKET, SO_LINGER, &hard,
		    sizeof(hard));
	server_conn_close(&c->conn);
}

static void
send_answer(void *arg)
{
	scripted_conn_t *c = arg;
	const char *id = head_get(&c->conn.http->head, "Request-Id");
	GString *text = g_string_new(c->script.answer);
	loop_t *l = c->conn.server->loop;

	g_string_replace(text, "@", id != NULL ? id : "", 0);
	if (c->script.cut != 0 && c->script.cut < text->len)
		g_string_truncate(text, c->script.cut);
	http_conn_write(c->conn.http, text->str, text->len);
	g_string_free(text, TRUE);
	http_conn_flush(c->conn.http);
	if (c->script.end == SCRIPT_KEEP)
		return;
	c->conn.alarm.fn = end_connection;
	alarm_set(l, &c->conn.alarm, l->now + c->script.end_ms);
}

static void
begin_answer(scripted_conn_t *c)
{
	scripted_peer_t *p = c->conn.server->owner;

	c->begun = true;
	p->requests++;
	c->script = p->script;
	c->conn.alarm = (alarm_t){ .fn = send_answer, .arg = c };
	if (c->script.wait_ms == 0)
		send_answer(c);
	else
		alarm_set(p->server.loop, &c->conn.alarm,
		    p->server.loop->now + c->script.wait_ms);
}

static void
on_head(server_conn_t *v)
{
	scripted_peer_t *p = v->server->owner;

	if (!p->script.early)
		return;
	http_conn_pause(v->http, true);
	begin_answer((scripted_conn_t *)v);
}

static void
on_done(server_conn_t *v)
{
	scripted_conn_t *c = (scripted_conn_t *)v;

	if (!c->begun)
		begin_answer(c);
}

static const http_server_ops_t ops = {
	.size = sizeof(scripted_conn_t), .head = on_head, .done = on_done
};

scripted_peer_t *
scripted_peer_new(loop_t *l, const char *addr)
{
	scripted_peer_t *p = g_new0(scripted_peer_t, 1);

	http_server_open(&p->server, l, addr, &ops, p);
	return p;
}

void
scripted_peer_set(scripted_peer_t *p, const script_t *s)
{
	p->script = *s;
}

char *
scripted_peer_entry(const char *addr, const char *service, const char *models)
{
	return g_strdup_printf(
	    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"north\","
	    "\"version\":\"v1\",\"slots\":100,\"state\":\"ready\","
	    "\"cold_left_ms\":0,\"born\":1000,\"seq\":1%s}",
	    service, addr, models);
}

int
scripted_peer_open(const scripted_peer_t *p)
{
	return (int)p->server.conns->len;
}

int
scripted_peer_requests(const scripted_peer_t *p)
{
	return p->requests;
}

void
scripted_peer_free(scripted_peer_t *p)
{
	http_server_close(&p->server);
	g_free(p);
}
