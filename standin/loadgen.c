#include "standin/loadgen.h"

#include <jansson.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

enum {
	RESOLVE_INTERVAL_MS = 500, /* between requests for addresses */
	RESOLVE_TIMEOUT_MS = 1000, /* then the next instance is asked */
	CALL_TIMEOUT_MS = 6000,
	DRAIN_MS = 2000,  /* after the call timeout, for the last answers */
	ATTEMPTS_MAX = 3, /* of a new call, and of each take-up */
	TAKE_UPS_MAX = 2, /* of one stream */
	RETRY_MS = 100,	  /* if there is no Retry-After */
	ADDRESSES_MAX = 64,
	PROMPT_TOKENS = 600,
	PART_TOKENS = PROMPT_TOKENS / 4, /* of each shared part */
	TURN_MS = 5,			 /* longest wait for events */
	POPULAR_CALLS = 4, /* a target with as many should be served */
};
/* Shares of all calls; the rest are streams. */
static const double once_share = 0.2, read_share = 0.1;
/* The n-th most popular model's share is proportional to n to this power. */
static const double zipf_exponent = -1.1;
/* From half the span on, the popularity ranks move on by so many models. */
static const int rank_shift = 2;

typedef enum call_kind {
	KIND_READ, /* may be run more than once */
	KIND_ONCE, /* must run at most once */
	KIND_STREAM,
} call_kind_t;

typedef struct loadgen loadgen_t;

/** Events that one attempt brought. */
typedef struct stream_part {
	char id[32];
	int first, last;
} stream_part_t;

/** One call of a caller, with all its attempts. */
typedef struct client_call {
	loadgen_t *gen;
	call_kind_t kind;
	char model[ID_MAX];
	char id[32];	/* of the current attempt */
	char began[32]; /* id of the attempt that brought the first event */
	char addr[ADDR_MAX];   /* of the current attempt */
	char broken[ADDR_MAX]; /* where the stream broke last, or empty */
	int last_event, take_ups;
	bool out_of_order;
	GArray *parts; /* of a stream: stream_part_t */
	ms_t started_at;
	int attempts;
	client_request_t *request;
	alarm_t alarm;
} client_call_t;

struct loadgen {
	const loadgen_opts_t *opts;
	loadgen_result_t *result;
	rng_t rng;   /* for ids and addresses */
	rng_t drawn; /* for the calls */
	char addr[ADDRESSES_MAX][ADDR_MAX];
	int naddr;
	client_request_t *resolving;
	int nresolve;
	alarm_t resolve_alarm, next_call;
	ms_t begin_at, end_at;
	ms_t next_at; /* when the next call is due */
	int in_progress;
	GHashTable *outcomes; /* attempt id -> call_outcome_t */
	GPtrArray *streams;   /* parts of each stream that began */
	GHashTable *targets;  /* "model" or "model/adapter" -> target_count_t */
};

typedef struct target_count {
	int calls, served;
} target_count_t;

typedef struct call_outcome {
	call_kind_t kind;
	int status; /* 0: no answer */
	int runs;
} call_outcome_t;

static void send_attempt(client_call_t *call);

/* Addresses of the instances. */

static void
on_addresses(void *arg, client_request_t *p)
{
	loadgen_t *gen = arg;
	char *text = client_request_body(p);
	json_t *j = json_loads(text, 0, NULL), *v;
	size_t i;

	if (p->done && p->status == 200) {
		gen->naddr = 0;
		json_array_foreach(json_object_get(j, "addresses"), i, v)
		{
			if (gen->naddr < ADDRESSES_MAX && json_is_string(v))
				str_set(gen->addr[gen->naddr++], ADDR_MAX,
				    json_string_value(v));
		}
	}
	json_decref(j);
	g_free(text);
	gen->resolving = NULL;
	client_request_free(p);
}

static void
resolve_addresses(void *arg)
{
	loadgen_t *gen = arg;
	loop_t *l = gen->opts->loop;
	const char *addr =
	    gen->opts->entries[gen->nresolve % gen->opts->nentries];
	char *text;

	if (gen->resolving != NULL &&
	    l->now - gen->resolving->started_at < RESOLVE_TIMEOUT_MS) {
		alarm_set(l, &gen->resolve_alarm, l->now + RESOLVE_INTERVAL_MS);
		return;
	}
	if (gen->resolving != NULL)
		client_request_free(gen->resolving);
	gen->nresolve++;
	text = g_strdup_printf(
	    "GET /v1/resolve HTTP/1.1\r\nHost: %s\r\n\r\n", addr);
	gen->resolving = client_request_open(l, addr, text, on_addresses, gen);
	g_free(text);
	alarm_set(l, &gen->resolve_alarm, l->now + RESOLVE_INTERVAL_MS);
}

/* Answers. */

static double
retry_after(const client_request_t *p)
{
	const char *v =
	    p->headers != NULL ? strstr(p->headers, "Retry-After: ") : NULL;

	return v != NULL ? 1000 * strtod(v + strlen("Retry-After: "), NULL)
			 : RETRY_MS;
}

/* Read the events that an attempt brought, up to the last whole one. */
static void
read_events(client_call_t *call, const client_request_t *p)
{
	char *text = client_request_body(p), *at = text, *end;
	stream_part_t part = { .first = call->last_event + 1 };

	while ((end = strstr(at, "\n\n")) != NULL) {
		if (!g_str_has_prefix(at, "id: ") ||
		    atoi(at + strlen("id: ")) != ++call->last_event)
			call->out_of_order = true;
		at = end + strlen("\n\n");
	}
	call->out_of_order |= p->done && *at != '\0';
	part.last = call->last_event;
	if (part.last >= part.first) {
		str_set(part.id, sizeof(part.id), call->id);
		if (call->parts->len == 0) {
			str_set(call->began, sizeof(call->began), call->id);
			call->gen->result->begun++;
		}
		g_array_append_val(call->parts, part);
	}
	g_free(text);
}

static bool
answer_matches(const client_call_t *call, const client_request_t *p)
{
	char *text, want[64];
	bool good;

	if (call->kind == KIND_STREAM)
		return !call->out_of_order &&
		       call->last_event == call->gen->opts->events;
	text = client_request_body(p);
	snprintf(want, sizeof(want), "answer to %s ", call->id);
	good = strncmp(text, want, strlen(want)) == 0;
	g_free(text);
	return good;
}

static void
end_call(client_call_t *call)
{
	call->gen->in_progress--;
	alarm_stop(call->gen->opts->loop, &call->alarm);
	if (call->parts != NULL)
		g_ptr_array_add(call->gen->streams, call->parts);
	loop_free_later(call->gen->opts->loop, call);
}

static bool
schedule_retry(client_call_t *call, ms_t after)
{
	loop_t *l = call->gen->opts->loop;

	ms_t limit = call->take_ups > 0 ? CALL_TIMEOUT_MS : CALL_TIMEOUT_MS / 2;

	if (call->attempts >= ATTEMPTS_MAX ||
	    l->now + after > call->started_at + limit)
		return false;
	call->gen->result->retried++;
	alarm_set(l, &call->alarm, l->now + after);
	return true;
}

static target_count_t *
target_of(const client_call_t *call)
{
	target_count_t *a =
	    g_hash_table_lookup(call->gen->targets, call->model);

	if (a == NULL) {
		a = g_new0(target_count_t, 1);
		g_hash_table_insert(
		    call->gen->targets, g_strdup(call->model), a);
	}
	return a;
}

static void
check_success(client_call_t *call, const client_request_t *p)
{
	loadgen_result_t *r = call->gen->result;

	if (!answer_matches(call, p)) {
		r->mismatched++;
		return;
	}
	if (call->take_ups > 0) {
		r->resumed_served++;
		return;
	}
	r->served++;
	if (call->kind == KIND_STREAM)
		target_of(call)->served++;
	histo_add(&r->first, p->first_byte_at - call->started_at);
	histo_add(&r->whole, p->ended_at - call->started_at);
}

/* Take a stream that broke after its first event up at another daemon. */
static bool
take_up(client_call_t *call)
{
	if (call->kind != KIND_STREAM || call->parts->len == 0 ||
	    call->take_ups >= TAKE_UPS_MAX ||
	    call->gen->opts->loop->now >= call->started_at + CALL_TIMEOUT_MS)
		return false;
	call->gen->result->resumed += call->take_ups == 0;
	call->take_ups++;
	call->attempts = 0;
	str_set(call->broken, ADDR_MAX, call->addr);
	alarm_set(
	    call->gen->opts->loop, &call->alarm, call->gen->opts->loop->now);
	return true;
}

/* A stream that broke counts as cut, whatever its take-up brings. */
static bool
is_new(const client_call_t *call)
{
	return call->take_ups == 0;
}

static void
on_answer(void *arg, client_request_t *p)
{
	client_call_t *call = arg;
	loadgen_result_t *r = call->gen->result;
	call_outcome_t *t = g_new0(call_outcome_t, 1);
	bool retrying = false;

	t->kind = call->kind;
	t->status = p->done ? p->status : 0;
	g_hash_table_insert(call->gen->outcomes, g_strdup(call->id), t);
	if (call->kind == KIND_STREAM && p->status == 200)
		read_events(call, p);
	if (p->done && p->status == 200) {
		check_success(call, p);
	} else if (p->done && (p->status == 429 || p->status == 503)) {
		retrying = schedule_retry(call, (ms_t)retry_after(p));
		r->refused += !retrying && is_new(call);
	} else if (p->done) {
		r->failed += is_new(call);
	} else if (p->status != 0) {
		r->cut += is_new(call);
		r->mismatched += call->out_of_order;
		retrying = !call->out_of_order && take_up(call);
	} else {
		/* The connection was refused: try another instance. */
		bool refused =
		    p->http == NULL && p->ended_at - p->started_at < TURN_MS;

		retrying = refused && schedule_retry(call, 0);
		r->lost += !retrying && is_new(call);
	}
	call->request = NULL;
	client_request_free(p);
	if (!retrying)
		end_call(call);
}

static void
give_up(client_call_t *call)
{
	client_request_t *p = call->request;

	call->request = NULL;
	call->gen->result->lost += is_new(call);
	if (call->kind == KIND_STREAM && p->status == 200)
		read_events(call, p);
	client_request_free(p);
	end_call(call);
}

static void
on_call_alarm(void *arg)
{
	client_call_t *call = arg;

	if (call->request != NULL)
		give_up(call);
	else
		send_attempt(call);
}

/* An address at random, another one than where the stream broke. */
static const char *
pick_address(client_call_t *call)
{
	loadgen_t *gen = call->gen;
	int at = (int)(rng_unit(&gen->rng) * gen->naddr);

	if (strcmp(gen->addr[at], call->broken) == 0)
		at = (at + 1) % gen->naddr;
	return gen->addr[at];
}

/* Header lines of a stream. */
static char *
stream_headers(const client_call_t *call)
{
	char *resume =
	    call->take_ups == 0
		? g_strdup("")
		: g_strdup_printf("Last-Event-Id: %d\r\nResumes: %s\r\n",
		      call->last_event, call->began);
	uint64_t own =
	    hash_str(call->take_ups == 0 ? call->id : call->began, 0);
	char *all = g_strdup_printf("Model: %s\r\nToken-Usage: %d,%d\r\n"
				    "Prompt-Prefix: f1:%d,%x:%d,%" PRIx64
				    ":%d\r\n%s",
	    call->model, PROMPT_TOKENS, call->gen->opts->events, PART_TOKENS,
	    LOADGEN_SUBJECT + (unsigned)(own % LOADGEN_SUBJECTS), PART_TOKENS,
	    own, PROMPT_TOKENS - 2 * PART_TOKENS, resume);

	g_free(resume);
	return all;
}

static void
send_attempt(client_call_t *call)
{
	static const char *const path[] = { "GET /read/", "POST /book/",
		"POST /gen/" };
	loadgen_t *gen = call->gen;
	loop_t *l = gen->opts->loop;
	ms_t left = call->started_at + CALL_TIMEOUT_MS - l->now;
	char *text, *more;

	call->attempts++;
	snprintf(
	    call->id, sizeof(call->id), "%016" PRIx64, rng_next(&gen->rng));
	if (gen->naddr == 0) {
		if (!schedule_retry(call, RETRY_MS)) {
			gen->result->refused += is_new(call);
			end_call(call);
		}
		return;
	}
	more = call->kind != KIND_STREAM ? g_strdup("") : stream_headers(call);
	text = g_strdup_printf("%s%s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n"
			       "Authorization: Token " LOADGEN_KEY "\r\n"
			       "Deadline-Remaining: %" PRId64 "\r\n%s%s\r\n%s",
	    path[call->kind], call->id, gen->opts->host, call->id,
	    (int)(call->started_at % LOADGEN_KEYS), left, more,
	    call->kind == KIND_READ ? "" : "Content-Length: 4\r\n",
	    call->kind == KIND_READ ? "" : "body");
	str_set(call->addr, ADDR_MAX, pick_address(call));
	call->request =
	    client_request_open(l, call->addr, text, on_answer, call);
	g_free(text);
	g_free(more);
	alarm_set(l, &call->alarm, l->now + left + DRAIN_MS);
	if (call->request == NULL && !schedule_retry(call, RETRY_MS)) {
		gen->result->lost += is_new(call);
		end_call(call);
	}
}

/* New calls. */

static void
pick_model(loadgen_t *gen, char *to)
{
	const loadgen_opts_t *o = gen->opts;
	double sum = 0, at;
	int i, m = 0, moved = 0;

	if (gen->next_at > gen->begin_at + o->span / 2)
		moved = rank_shift;
	for (i = 0; i < o->nmodel; i++)
		sum += pow(i + 1, zipf_exponent);
	at = rng_unit(&gen->drawn) * sum;
	for (i = 0; i < o->nmodel; i++) {
		at -= pow(i + 1, zipf_exponent);
		m = i;
		if (at <= 0)
			break;
	}
	m = (m + moved) % o->nmodel;
	/* One call in three is for an adapter of its model. */
	if (o->adapters > 0 && rng_unit(&gen->drawn) < 1.0 / 3)
		snprintf(to, ID_MAX, "%s/a%d", o->models[m].name,
		    1 + (int)(rng_unit(&gen->drawn) * o->adapters));
	else
		str_set(to, ID_MAX, o->models[m].name);
}

static void
start_call(void *arg)
{
	loadgen_t *gen = arg;
	loop_t *l = gen->opts->loop;
	client_call_t *call;
	double u = rng_unit(&gen->drawn);

	call = g_new0(client_call_t, 1);
	call->gen = gen;
	call->kind = u < once_share		   ? KIND_ONCE
		     : u < once_share + read_share ? KIND_READ
						   : KIND_STREAM;
	if (call->kind == KIND_STREAM) {
		call->parts = g_array_new(FALSE, FALSE, sizeof(stream_part_t));
		gen->result->streams++;
	}
	call->started_at = l->now;
	call->alarm = (alarm_t){ .fn = on_call_alarm, .arg = call };
	pick_model(gen, call->model);
	gen->in_progress++;
	gen->result->calls++;
	if (call->kind == KIND_STREAM)
		target_of(call)->calls++;
	/* From when it was due, so that a seed gives the same calls always. */
	gen->next_at +=
	    (ms_t)(-log(1 - rng_unit(&gen->drawn)) * 1000 / gen->opts->rate +
		   0.5);
	if (gen->next_at < gen->end_at)
		alarm_set(l, &gen->next_call, gen->next_at);
	send_attempt(call);
}

/* What callers were told, compared with what the endpoints ran. */

static void
count_runs(loadgen_t *gen)
{
	int i;
	guint k;

	for (i = 0; i < gen->opts->nendpoint; i++) {
		const GPtrArray *run =
		    fake_endpoint_executed(gen->opts->endpoint[i]);

		for (k = 0; k < run->len; k++) {
			const executed_call_t *x = run->pdata[k];
			call_outcome_t *t =
			    g_hash_table_lookup(gen->outcomes, x->id);

			if (t != NULL)
				t->runs++;
		}
	}
}

/* The version of the run that brought an event: the last that began before. */
static const char *
version_of_event(const GPtrArray *runs, int event)
{
	const char *version = NULL;
	ms_t at = -1;
	guint i;

	for (i = 0; runs != NULL && i < runs->len; i++) {
		const executed_call_t *x = runs->pdata[i];

		if (x->last_event_id < event && x->at >= at) {
			at = x->at;
			version = x->version;
		}
	}
	return version;
}

static bool
versions_differ(const GHashTable *runs, const GArray *parts)
{
	const char *first = NULL, *version;
	guint i;
	int n;

	for (i = 0; i < parts->len; i++) {
		const stream_part_t *part =
		    &g_array_index(parts, stream_part_t, i);
		const GPtrArray *run =
		    g_hash_table_lookup((GHashTable *)runs, part->id);

		for (n = part->first; n <= part->last; n++) {
			version = version_of_event(run, n);
			if (first == NULL)
				first = version;
			if (version != NULL && strcmp(version, first) != 0)
				return true;
		}
	}
	return false;
}

static void
count_mixed(loadgen_t *gen)
{
	GHashTable *runs = g_hash_table_new_full(
	    g_str_hash, g_str_equal, NULL, (GDestroyNotify)g_ptr_array_unref);
	GPtrArray *list;
	int i;
	guint k;

	for (i = 0; i < gen->opts->nendpoint; i++) {
		const GPtrArray *run =
		    fake_endpoint_executed(gen->opts->endpoint[i]);

		for (k = 0; k < run->len; k++) {
			executed_call_t *x = run->pdata[k];

			list = g_hash_table_lookup(runs, x->id);
			if (list == NULL) {
				list = g_ptr_array_new();
				g_hash_table_insert(runs, x->id, list);
			}
			g_ptr_array_add(list, x);
		}
	}
	for (k = 0; k < gen->streams->len; k++)
		gen->result->mixed_versions +=
		    versions_differ(runs, gen->streams->pdata[k]);
	g_hash_table_destroy(runs);
}

static void
compare_outcomes(loadgen_t *gen)
{
	GHashTableIter it;
	gpointer v;

	count_runs(gen);
	g_hash_table_iter_init(&it, gen->outcomes);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const call_outcome_t *t = v;

		gen->result->doubled += t->kind == KIND_ONCE && t->runs > 1;
		gen->result->ran_refused +=
		    (t->status == 401 || t->status == 429 ||
			t->status == 503) &&
		    t->runs > 0;
	}
}

static void
count_starved(loadgen_t *gen)
{
	GHashTableIter it;
	gpointer v;

	g_hash_table_iter_init(&it, gen->targets);
	while (g_hash_table_iter_next(&it, NULL, &v)) {
		const target_count_t *a = v;

		gen->result->popular += a->calls >= POPULAR_CALLS;
		gen->result->starved +=
		    a->calls >= POPULAR_CALLS && a->served == 0;
	}
}

void
loadgen_run(const loadgen_opts_t *o, loadgen_result_t *r)
{
	loadgen_t gen = { .opts = o, .result = r };
	ms_t last;

	memset(r, 0, sizeof(*r));
	gen.rng.s = (uint64_t)clock_wall();
	gen.drawn.s = o->seed != 0 ? o->seed : gen.rng.s;
	gen.outcomes =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gen.targets =
	    g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	gen.streams =
	    g_ptr_array_new_with_free_func((GDestroyNotify)g_array_unref);
	gen.resolve_alarm = (alarm_t){ .fn = resolve_addresses, .arg = &gen };
	gen.next_call = (alarm_t){ .fn = start_call, .arg = &gen };
	gen.begin_at = o->loop->now;
	gen.end_at = gen.begin_at + o->span;
	last = gen.end_at + CALL_TIMEOUT_MS + DRAIN_MS;
	resolve_addresses(&gen);
	gen.next_at = gen.begin_at + RESOLVE_INTERVAL_MS;
	alarm_set(o->loop, &gen.next_call, gen.next_at);
	while (o->loop->now < gen.end_at ||
	       (gen.in_progress > 0 && o->loop->now < last)) {
		loop_turn(o->loop, TURN_MS);
		if (o->turn != NULL)
			o->turn(o->arg, o->loop->now - gen.begin_at);
	}
	alarm_stop(o->loop, &gen.resolve_alarm);
	alarm_stop(o->loop, &gen.next_call);
	if (gen.resolving != NULL)
		client_request_free(gen.resolving);
	r->lost += gen.in_progress;
	compare_outcomes(&gen);
	count_mixed(&gen);
	count_starved(&gen);
	g_hash_table_destroy(gen.outcomes);
	g_hash_table_destroy(gen.targets);
	g_ptr_array_free(gen.streams, TRUE);
}
