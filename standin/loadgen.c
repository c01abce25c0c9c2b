#include "standin/loadgen.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	ASK_MS = 500,	    /* between questions for addresses */
	ASK_LATE_MS = 1000, /* then another instance is asked */
	PATIENCE_MS = 6000,
	LAST_MS = 2000, /* beyond the patience, for the last answers */
	TRIES = 3,
	AGAIN_MS = 100, /* without a Retry-After */
	ADDRESSES = 64,
	PROMPT = 600, /* tokens */
	TURN_MS = 5,
	OFTEN = 4, /* calls for a model or adapter: it shouldn't starve */
};
/* Parts of the calls. */
static const double part_once = 0.2, part_read = 0.1;
/* The busiest model gets most: share of place n goes with n to this power. */
static const double skew = -1.1;
/* Half way, demand moves on by so many places. */
static const int shift = 2;

typedef enum kind {
	KIND_READ, /* may be repeated */
	KIND_ONCE, /* may run once */
	KIND_STREAM,
} wish_kind_t;

typedef struct crowd crowd_t;

/** One caller with one wish, over all its tries. */
typedef struct wish {
	crowd_t *c;
	wish_kind_t kind;
	char model[ID_MAX];
	char id[32]; /* of the try that is on */
	ms_t began;
	int tries;
	http_request_t *patron;
	alarm_t alarm;
} wish_t;

struct crowd {
	const loadgen_opts_t *o;
	loadgen_result_t *r;
	rng_t rng;
	char addr[ADDRESSES][ADDR_MAX];
	int naddr;
	http_request_t *asking;
	int asked;
	alarm_t ask, next;
	ms_t begin, end;
	int open;
	GHashTable *told; /* id -> what the caller was told: told_t */
	GHashTable *ware; /* model/adapter -> asked_t */
};

typedef struct asked {
	int asked, served;
} asked_t;

typedef struct told {
	wish_kind_t kind;
	int status; /* 0: no answer */
	int runs;
} told_t;

static void try_it(wish_t *w);

/* Where to call. */

static void
addresses(void *arg, http_request_t *p)
{
	crowd_t *c = arg;
	char *text = http_request_body(p);
	json_t *j = json_loads(text, 0, NULL), *v;
	size_t i;

	if (p->done && p->status == 200) {
		c->naddr = 0;
		json_array_foreach(json_object_get(j, "addresses"), i, v)
		{
			if (c->naddr < ADDRESSES && json_is_string(v))
				str_copy(c->addr[c->naddr++], ADDR_MAX,
				    json_string_value(v));
		}
	}
	json_decref(j);
	g_free(text);
	c->asking = NULL;
	http_request_free(p);
}

static void
ask(void *arg)
{
	crowd_t *c = arg;
	loop_t *l = c->o->loop;
	const char *addr = c->o->entries[c->asked % c->o->nentries];
	char *text;

	if (c->asking != NULL && l->now - c->asking->started_at < ASK_LATE_MS) {
		alarm_set(l, &c->ask, l->now + ASK_MS);
		return;
	}
	if (c->asking != NULL)
		http_request_free(c->asking);
	c->asked++;
	text = g_strdup_printf(
	    "GET /v1/resolve HTTP/1.1\r\nHost: %s\r\n\r\n", addr);
	c->asking = http_request_open(l, addr, text, addresses, c);
	g_free(text);
	alarm_set(l, &c->ask, l->now + ASK_MS);
}

/* What came of a call. */

static double
retry_after(const http_request_t *p)
{
	const char *v =
	    p->headers != NULL ? strstr(p->headers, "Retry-After: ") : NULL;

	return v != NULL ? 1000 * strtod(v + strlen("Retry-After: "), NULL)
			 : AGAIN_MS;
}

/* Events 1 to the last, each once and in order. */
static bool
events_whole(const char *text, int events)
{
	const char *p = text;
	int n = 0;

	while ((p = strstr(p, "id: ")) != NULL) {
		if (atoi(p + strlen("id: ")) != ++n)
			return false;
		p++;
	}
	return n == events;
}

static bool
right(const wish_t *w, const http_request_t *p)
{
	char *text = http_request_body(p), want[64];
	bool good;

	snprintf(want, sizeof(want), "answer to %s ", w->id);
	good = w->kind == KIND_STREAM ? events_whole(text, w->c->o->events)
				      : strncmp(text, want, strlen(want)) == 0;
	g_free(text);
	return good;
}

static void
end(wish_t *w)
{
	w->c->open--;
	alarm_stop(w->c->o->loop, &w->alarm);
	loop_bury(w->c->o->loop, w);
}

static bool
comes_back(wish_t *w, ms_t after)
{
	loop_t *l = w->c->o->loop;

	if (w->tries >= TRIES || l->now + after > w->began + PATIENCE_MS / 2)
		return false;
	w->c->r->retried++;
	alarm_set(l, &w->alarm, l->now + after);
	return true;
}

static asked_t *
asked_of(const wish_t *w)
{
	asked_t *a = g_hash_table_lookup(w->c->ware, w->model);

	if (a == NULL) {
		a = g_new0(asked_t, 1);
		g_hash_table_insert(w->c->ware, g_strdup(w->model), a);
	}
	return a;
}

static void
succeeded(wish_t *w, const http_request_t *p)
{
	loadgen_result_t *r = w->c->r;

	if (!right(w, p)) {
		r->mismatched++;
		return;
	}
	r->served++;
	if (w->kind == KIND_STREAM)
		asked_of(w)->served++;
	histo_add(&r->first, p->first_byte_at - w->began);
	histo_add(&r->whole, p->ended_at - w->began);
}

static void
answered(void *arg, http_request_t *p)
{
	wish_t *w = arg;
	loadgen_result_t *r = w->c->r;
	told_t *t = g_new0(told_t, 1);
	bool back = false;

	t->kind = w->kind;
	t->status = p->done ? p->status : 0;
	g_hash_table_insert(w->c->told, g_strdup(w->id), t);
	if (p->done && p->status == 200) {
		succeeded(w, p);
	} else if (p->done && (p->status == 429 || p->status == 503)) {
		back = comes_back(w, (ms_t)retry_after(p));
		r->refused += !back;
	} else if (p->done) {
		r->failed++;
	} else if (p->status != 0) {
		r->cut++;
	} else {
		/* Not even a connection: another instance's turn. */
		bool refused =
		    p->link == NULL && p->ended_at - p->started_at < TURN_MS;

		back = refused && comes_back(w, 0);
		r->lost += !back;
	}
	w->patron = NULL;
	http_request_free(p);
	if (!back)
		end(w);
}

static void
too_late(wish_t *w)
{
	http_request_t *p = w->patron;

	w->patron = NULL;
	w->c->r->lost++;
	http_request_free(p);
	end(w);
}

static void
due(void *arg)
{
	wish_t *w = arg;

	if (w->patron != NULL)
		too_late(w);
	else
		try_it(w);
}

static void
try_it(wish_t *w)
{
	static const char *const path[] = { "GET /read/", "POST /book/",
		"POST /gen/" };
	crowd_t *c = w->c;
	loop_t *l = c->o->loop;
	ms_t left = w->began + PATIENCE_MS - l->now;
	char *text, *more;

	w->tries++;
	snprintf(w->id, sizeof(w->id), "%016" PRIx64, rng_next(&c->rng));
	if (c->naddr == 0) {
		if (!comes_back(w, AGAIN_MS)) {
			c->r->refused++;
			end(w);
		}
		return;
	}
	more = w->kind != KIND_STREAM
		   ? g_strdup("")
		   : g_strdup_printf("Model: %s\r\nToken-Usage: %d,%d\r\n"
				     "Prompt-Prefix: %s:%d\r\n",
			 w->model, PROMPT, c->o->events, w->id, PROMPT);
	text = g_strdup_printf("%s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
			       "Deadline-Remaining: %" PRId64 "\r\n%s%s\r\n%s",
	    path[w->kind], w->id, c->o->host, w->id, left, more,
	    w->kind == KIND_READ ? "" : "Content-Length: 4\r\n",
	    w->kind == KIND_READ ? "" : "body");
	w->patron = http_request_open(
	    l, c->addr[(int)(rng_unit(&c->rng) * c->naddr)], text, answered, w);
	g_free(text);
	g_free(more);
	alarm_set(l, &w->alarm, l->now + left + LAST_MS);
	if (w->patron == NULL && !comes_back(w, AGAIN_MS)) {
		c->r->lost++;
		end(w);
	}
}

/* Callers come. */

static void
pick_model(crowd_t *c, char *to)
{
	const loadgen_opts_t *o = c->o;
	double sum = 0, at;
	int i, m = 0, moved = 0;

	if (o->loop->now > c->begin + o->span / 2)
		moved = shift;
	for (i = 0; i < o->nmodel; i++)
		sum += pow(i + 1, skew);
	at = rng_unit(&c->rng) * sum;
	for (i = 0; i < o->nmodel; i++) {
		at -= pow(i + 1, skew);
		m = i;
		if (at <= 0)
			break;
	}
	m = (m + moved) % o->nmodel;
	/* Each third call is for an adapter of its model. */
	if (o->adapters > 0 && rng_unit(&c->rng) < 1.0 / 3)
		snprintf(to, ID_MAX, "%s/a%d", o->models[m].name,
		    1 + (int)(rng_unit(&c->rng) * o->adapters));
	else
		str_copy(to, ID_MAX, o->models[m].name);
}

static void
arrive(void *arg)
{
	crowd_t *c = arg;
	loop_t *l = c->o->loop;
	wish_t *w;
	double u = rng_unit(&c->rng);

	if (l->now >= c->end)
		return;
	alarm_set(l, &c->next,
	    l->now +
		(ms_t)(-log(1 - rng_unit(&c->rng)) * 1000 / c->o->rate + 0.5));
	w = g_new0(wish_t, 1);
	w->c = c;
	w->kind = u < part_once		      ? KIND_ONCE
		  : u < part_once + part_read ? KIND_READ
					      : KIND_STREAM;
	w->began = l->now;
	w->alarm = (alarm_t){ .fn = due, .arg = w };
	pick_model(c, w->model);
	c->open++;
	c->r->calls++;
	if (w->kind == KIND_STREAM)
		asked_of(w)->asked++;
	try_it(w);
}

/* What callers were told against what ran. */

static void
count_runs(crowd_t *c)
{
	int i;
	guint k;

	for (i = 0; i < c->o->nendpoint; i++) {
		const GPtrArray *run =
		    fake_endpoint_executed(c->o->endpoint[i]);

		for (k = 0; k < run->len; k++) {
			const executed_call_t *x = run->pdata[k];
			told_t *t = g_hash_table_lookup(c->told, x->id);

			if (t != NULL)
				t->runs++;
		}
	}
}

static void
compare(crowd_t *c)
{
	GHashTableIter it;
	gpointer v;

	count_runs(c);
	g_hash_table_iter_init(&it, c->told);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const told_t *t = v;

		c->r->doubled += t->kind == KIND_ONCE && t->runs > 1;
		c->r->ran_refused +=
		    (t->status == 429 || t->status == 503) && t->runs > 0;
	}
}

static void
count_starved(crowd_t *c)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, c->ware);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const asked_t *a = v;

		c->r->popular += a->asked >= OFTEN;
		c->r->starved += a->asked >= OFTEN && a->served == 0;
	}
}

void
loadgen_run(const loadgen_opts_t *o, loadgen_result_t *r)
{
	crowd_t c = { .o = o, .r = r };
	ms_t last;

	memset(r, 0, sizeof(*r));
	c.rng.s = (uint64_t)clock_wall();
	c.told = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c.ware = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	c.ask = (alarm_t){ .fn = ask, .arg = &c };
	c.next = (alarm_t){ .fn = arrive, .arg = &c };
	c.begin = o->loop->now;
	c.end = c.begin + o->span;
	last = c.end + PATIENCE_MS + LAST_MS;
	ask(&c);
	alarm_set(o->loop, &c.next, o->loop->now + ASK_MS);
	while (o->loop->now < c.end || (c.open > 0 && o->loop->now < last)) {
		loop_turn(o->loop, TURN_MS);
		if (o->turn != NULL)
			o->turn(o->arg, o->loop->now - c.begin);
	}
	alarm_stop(o->loop, &c.ask);
	alarm_stop(o->loop, &c.next);
	if (c.asking != NULL)
		http_request_free(c.asking);
	r->lost += c.open;
	compare(&c);
	count_starved(&c);
	g_hash_table_destroy(c.told);
	g_hash_table_destroy(c.ware);
}
