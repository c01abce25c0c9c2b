/* Writes an endpoint's answer to the caller's connection. */
#include "serve/peer_call.h"

void
answer_store_head(call_t *c, const head_t *h, int status)
{
	int i;

	buf_fmt(
	    &c->answer_head, "HTTP/1.1 %d %s\r\n", status, http_reason(status));
	for (i = 0; i < h->nfield; i++)
		if (answer_head_forward(h, i))
			buf_fmt(&c->answer_head, "%s: %s\r\n", head_name(h, i),
			    head_value(h, i));
}

void
answer_forward_head(call_t *c, int64_t length)
{
	caller_conn_t *cc = c->caller;
	http_conn_t *k = cc->http;

	buf_add(&k->out, c->answer_head.p, c->answer_head.len);
	if (length >= 0)
		buf_fmt(&k->out, "Content-Length: %" PRId64 "\r\n", length);
	else if (k->parser.http_minor >= 1)
		buf_str(&k->out, "Transfer-Encoding: chunked\r\n");
	else
		k->keep_alive = false;
	if (c->s->leaving || !k->keep_alive)
		buf_str(&k->out, "Connection: close\r\n");
	if (c->from_instance)
		peer_answer_encode(c, c->answered_by, 0, &k->out);
	buf_str(&k->out, "\r\n");
	c->head_sent = true;
	c->state = CALL_RELAYING;
}

void
answer_write_chunk(call_t *c, const char *p, size_t n)
{
	http_conn_t *k = c->caller->http;
	bool chunked = k->parser.http_minor >= 1;

	if (n == 0)
		return;
	if (chunked)
		buf_fmt(&k->out, "%zx\r\n", n);
	buf_add(&k->out, p, n);
	if (chunked)
		buf_str(&k->out, "\r\n");
}

void
answer_write_last_chunk(call_t *c)
{
	http_conn_t *k = c->caller->http;

	if (k->parser.http_minor >= 1)
		buf_str(&k->out, "0\r\n\r\n");
}
