/*
 * What is sent to the instances that keep endpoints' loads and to those that
 * ask them: one datagram for each instance at the end of a loop turn.
 */
#include "serve/keepers.h"

#include <string.h>

enum {
	ITEMS_MAX = 200, /* in one datagram */
};

typedef enum item_kind {
	ITEM_ASK,
	ITEM_REMOVED,
	ITEM_SHARE,
	ITEM_ANSWER,
} item_kind_t;

typedef struct item {
	item_kind_t kind;
	struct sockaddr_in to;
	uint32_t endpoint, call;
	union {
		keeper_ask_t ask;
		struct {
			workload_share_t share;
			uint32_t pace, pace_ago;
		};
		struct {
			keeper_answer_t answer;
			uint32_t answer_pace;
		};
	};
} item_t;

GArray *
keeper_out_new(void)
{
	return g_array_new(FALSE, FALSE, sizeof(item_t));
}

static uint32_t
not_negative(ms_t v)
{
	return v > 0 ? (uint32_t)v : 0;
}

static void
add(serve_t *s, const item_t *i)
{
	g_array_append_val(s->keepers->out, *i);
}

void
keeper_send_ask(
    serve_t *s, const struct sockaddr_in *to, ep_t *p, const keeper_ask_t *a)
{
	add(s, &(item_t){ .kind = ITEM_ASK,
		   .to = *to,
		   .endpoint = p->tag,
		   .call = a->call,
		   .ask = *a });
}

void
keeper_send_removed(
    serve_t *s, const struct sockaddr_in *to, const ep_t *p, uint32_t call)
{
	add(s, &(item_t){ .kind = ITEM_REMOVED,
		   .to = *to,
		   .endpoint = p->tag,
		   .call = call });
}

void
keeper_send_share(serve_t *s, const struct sockaddr_in *to, const ep_t *p)
{
	add(s,
	    &(item_t){ .kind = ITEM_SHARE,
		.to = *to,
		.endpoint = p->tag,
		.share = p->workload.own,
		/* Not what others told: it would come back as new. */
		.pace = (uint32_t)p->pace_reported,
		.pace_ago = not_negative(s->loop.now - p->pace_reported_at) });
}

void
keeper_send_answer(serve_t *s, const struct sockaddr_in *to, const ep_t *p,
    uint32_t call, const keeper_answer_t *a)
{
	add(s, &(item_t){ .kind = ITEM_ANSWER,
		   .to = *to,
		   .endpoint = p->tag,
		   .call = call,
		   .answer = *a,
		   .answer_pace =
		       p->workload.pace.at == 0
			   ? 0
			   : (uint32_t)(100 * pace_now(&p->workload.pace,
						  s->loop.now) +
					0.5) });
}

/** A message under construction; each list has one of its repeated fields. */
typedef struct message {
	Digest__KeeperMessage m;
	uint32_t ask[6][ITEMS_MAX], removed[2][ITEMS_MAX], share[6][ITEMS_MAX],
	    answer[5][ITEMS_MAX];
} message_t;

static uint32_t
kv_units(int tokens)
{
	return (uint32_t)(tokens + KV_UNIT_TOKENS - 1) / KV_UNIT_TOKENS;
}

static void
put(message_t *t, const serve_t *s, const item_t *i)
{
	Digest__KeeperMessage *m = &t->m;
	size_t n;

	switch (i->kind) {
	case ITEM_ASK:
		n = m->n_ask_call++;
		t->ask[0][n] = i->call;
		t->ask[1][n] = i->endpoint;
		t->ask[2][n] = (uint32_t)i->ask.tokens;
		t->ask[3][n] = kv_units(i->ask.kv);
		t->ask[4][n] = (uint32_t)i->ask.rank;
		t->ask[5][n] = not_negative(i->ask.late_at - s->loop.now);
		break;
	case ITEM_REMOVED:
		n = m->n_removed_call++;
		t->removed[0][n] = i->call;
		t->removed[1][n] = i->endpoint;
		break;
	case ITEM_SHARE:
		n = m->n_endpoint++;
		t->share[0][n] = i->endpoint;
		t->share[1][n] = not_negative(i->share.prefill_tokens);
		t->share[2][n] = not_negative(i->share.running);
		t->share[3][n] = kv_units(i->share.kv_tokens);
		t->share[4][n] = i->pace;
		t->share[5][n] = i->pace_ago;
		break;
	case ITEM_ANSWER:
		n = m->n_answer_call++;
		t->answer[0][n] = i->call;
		t->answer[1][n] = i->endpoint;
		/* 0 is a grant. */
		t->answer[2][n] =
		    i->answer.granted ? 0 : not_negative(i->answer.wait) + 1;
		t->answer[3][n] = not_negative(i->answer.backlog);
		t->answer[4][n] = i->answer_pace;
		break;
	}
}

static void
send_message(serve_t *s, message_t *t, const struct sockaddr_in *to)
{
	static uint8_t bytes[DATAGRAM_MAX];
	Digest__KeeperMessage *m = &t->m;
	Digest__Digest d = DIGEST__DIGEST__INIT;

	m->ask_call = t->ask[0];
	m->ask_endpoint = t->ask[1];
	m->ask_tokens = t->ask[2];
	m->ask_kv_units = t->ask[3];
	m->ask_rank = t->ask[4];
	m->ask_late_in = t->ask[5];
	m->n_ask_endpoint = m->n_ask_tokens = m->n_ask_kv_units =
	    m->n_ask_rank = m->n_ask_late_in = m->n_ask_call;
	m->removed_call = t->removed[0];
	m->removed_endpoint = t->removed[1];
	m->n_removed_endpoint = m->n_removed_call;
	m->endpoint = t->share[0];
	m->prefill_tokens = t->share[1];
	m->running = t->share[2];
	m->kv_units = t->share[3];
	m->pace = t->share[4];
	m->pace_ago = t->share[5];
	m->n_pace = m->n_pace_ago = m->n_endpoint;
	m->n_prefill_tokens = m->n_running = m->n_kv_units = m->n_endpoint;
	m->answer_call = t->answer[0];
	m->answer_endpoint = t->answer[1];
	m->answer_wait = t->answer[2];
	m->answer_backlog = t->answer[3];
	m->answer_pace = t->answer[4];
	m->n_answer_pace = m->n_answer_call;
	m->n_answer_endpoint = m->n_answer_wait = m->n_answer_backlog =
	    m->n_answer_call;
	d.keeper = m;
	if (digest__digest__get_packed_size(&d) <= sizeof(bytes))
		send_datagram(s, to, bytes, digest__digest__pack(&d, bytes));
}

static bool
same_instance(const struct sockaddr_in *a, const struct sockaddr_in *b)
{
	return a->sin_addr.s_addr == b->sin_addr.s_addr &&
	       a->sin_port == b->sin_port;
}

void
keeper_send_all(serve_t *s)
{
	static message_t t;
	GArray *out = s->keepers->out;
	guint i, kept, n;

	while (out->len > 0) {
		struct sockaddr_in to = g_array_index(out, item_t, 0).to;

		digest__keeper_message__init(&t.m);
		for (i = kept = n = 0; i < out->len; i++) {
			const item_t *x = &g_array_index(out, item_t, i);

			if (n < ITEMS_MAX && same_instance(&x->to, &to)) {
				put(&t, s, x);
				n++;
			} else {
				g_array_index(out, item_t, kept++) = *x;
			}
		}
		g_array_set_size(out, kept);
		send_message(s, &t, &to);
	}
}
