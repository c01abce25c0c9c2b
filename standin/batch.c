#include "standin/batch.h"

#include "standin/token.h"
#include "standin/web.h"

#include <stdlib.h>
#include <string.h>

enum {
	PREFILLS_MAX = 4,  /* prompts in prefill at once */
	BLOCK_BYTES = 64,  /* of a prompt, the unit of caching */
	BLOCKS_MAX = 4096, /* capacity of the prefix cache */
	EVENTS_MAX = 1024,
	EVENT_LAG_MS = 200,	  /* until an event is reported */
	EVENT_LOSS_INTERVAL = 20, /* one event in this many is lost */
	UNREAD_STREAM_MS = 3000,  /* life of a stream without a reader */
	RECORD_MAX = 20000,
	IDLE_MS = 50, /* longest time between steps */
};

/* Share of first_ms that remains when the whole prompt is cached. */
static const double cached_prefill_share = 0.25;
/* Relative increase of the time between tokens when all slots are in use. */
static const double full_batch_slowdown = 0.5;

void
batch_init(batch_t *b, const batch_opts_t *o, memory_t *m)
{
	memset(b, 0, sizeof(*b));
	b->opts = *o;
	b->memory = m;
	b->slow_factor = 1;
	b->rng.s = o->seed;
	b->streams = g_hash_table_new(g_str_hash, g_str_equal);
	b->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&b->lru);
	g_queue_init(&b->events);
	b->records = g_new0(call_record_t, RECORD_MAX);
}

static void
add_cache_event(batch_t *b, bool stored, uint64_t prefix)
{
	cache_event_t *ev;

	b->event_seq++;
	if (rng_next(&b->rng) % EVENT_LOSS_INTERVAL == 0)
		return;
	ev = g_new0(cache_event_t, 1);
	ev->seq = b->event_seq;
	ev->at = clock_now(&machine_clock);
	ev->stored = stored;
	ev->prefix = prefix;
	g_queue_push_tail(&b->events, ev);
	if (b->events.length > EVENTS_MAX)
		g_free(g_queue_pop_head(&b->events));
}

static void
evict_block(batch_t *b)
{
	uint64_t *old = g_queue_pop_head(&b->lru);

	add_cache_event(b, false, *old);
	g_hash_table_remove(b->blocks, old);
	g_free(old);
}

/* Cache a prompt's blocks. @return the share that was cached before. */
static double
cache_prompt(batch_t *b, const char *prompt, const char *model)
{
	uint64_t chain = hash_str(model, 0);
	size_t at, len = strlen(prompt), hits = 0, n = 0;
	bool hit = true;

	for (at = 0; at < len; at += BLOCK_BYTES, n++) {
		GList *link;

		chain = hash64(prompt + at,
		    len - at < BLOCK_BYTES ? len - at : BLOCK_BYTES, chain);
		link = g_hash_table_lookup(b->blocks, &chain);
		hit = hit && link != NULL;
		hits += hit;
		if (link != NULL) {
			g_queue_unlink(&b->lru, link);
			g_queue_push_tail_link(&b->lru, link);
			continue;
		}
		g_queue_push_tail(&b->lru, g_memdup2(&chain, sizeof(chain)));
		g_hash_table_insert(b->blocks, b->lru.tail->data, b->lru.tail);
		add_cache_event(b, true, chain);
		if (b->lru.length > BLOCKS_MAX)
			evict_block(b);
	}
	return n == 0 ? 1 : (double)hits / n;
}

/* @return the stream's record, or a scratch one if that is overwritten. */
static call_record_t *
record_of(batch_t *b, const stream_t *s)
{
	call_record_t *r = &b->records[s->serial % RECORD_MAX];
	static call_record_t scratch;

	return r->serial == s->serial ? r : &scratch;
}

static void
record_start(batch_t *b, stream_t *s)
{
	call_record_t *r;

	s->serial = ++b->started;
	r = &b->records[s->serial % RECORD_MAX];
	memset(r, 0, sizeof(*r));
	r->serial = s->serial;
	str_set(r->id, sizeof(r->id), s->id);
	str_set(r->model, sizeof(r->model), s->model->model);
	if (s->adapter != NULL)
		str_set(r->adapter, sizeof(r->adapter), s->adapter->adapter);
	r->version = s->model->version;
	r->offset = s->from;
	b->last_at = clock_wall();
	if (b->first_at == 0)
		b->first_at = b->last_at;
}

stream_t *
batch_add(batch_t *b, const char *id, const char *prompt, uint32_t from,
    uint32_t max_tokens, uint32_t priority, item_t *model, item_t *adapter)
{
	stream_t *s = batch_find(b, id);
	double cached = cache_prompt(b, prompt, model->model);

	if (s != NULL) {
		batch_cancel(b, s);
		g_hash_table_remove(b->streams, s->id);
		stream_unref(s);
	}
	s = g_new0(stream_t, 1);
	str_set(s->id, sizeof(s->id), id);
	s->prompt = g_strdup(prompt);
	s->from = s->made = from;
	s->total = token_count(prompt, max_tokens);
	s->cut_short = token_count(prompt, UINT32_MAX) > max_tokens;
	s->priority = priority;
	s->prefill_ms =
	    b->opts.first_ms *
	    (cached_prefill_share + (1 - cached_prefill_share) * (1 - cached));
	s->refs = 1;
	s->model = model;
	s->adapter = adapter;
	s->readers = g_ptr_array_new();
	s->idle_since = clock_now(&machine_clock);
	item_use(model);
	item_use(adapter);
	g_hash_table_insert(b->streams, s->id, s);
	b->in_flight++;
	b->queued++;
	record_start(b, s);
	return s;
}

stream_t *
batch_find(batch_t *b, const char *id)
{
	return g_hash_table_lookup(b->streams, id);
}

void
stream_unref(stream_t *s)
{
	if (--s->refs > 0)
		return;
	g_ptr_array_free(s->readers, TRUE);
	g_free(s->prompt);
	g_free(s);
}

/* Take a stream out of the batch; it can still be read. */
static void
finish_stream(batch_t *b, stream_t *s, phase_t how)
{
	call_record_t *r = record_of(b, s);

	if (s->phase == PHASE_WAITING)
		b->queued--;
	else if (s->phase == PHASE_PREFILL)
		b->prefilling--;
	b->in_flight--;
	s->phase = how;
	r->ended = how == PHASE_ENDED;
	r->cancelled = how == PHASE_CANCELLED;
	item_release(b->memory, s->adapter);
	item_release(b->memory, s->model);
	b->wake(s);
}

void
batch_cancel(batch_t *b, stream_t *s)
{
	if (s->phase < PHASE_ENDED)
		finish_stream(b, s, PHASE_CANCELLED);
}

static ms_t
token_gap(const batch_t *b)
{
	double load =
	    (double)b->in_flight / (b->opts.slots == 0 ? 1 : b->opts.slots);
	ms_t span = b->opts.token_ms * b->slow_factor *
		    (1 + full_batch_slowdown * load);

	return span < 1 ? 1 : span;
}

/* Give free prefill slots to the most urgent streams, oldest first. */
static void
start_prefills(batch_t *b, ms_t now)
{
	while (b->queued > 0 && b->prefilling < PREFILLS_MAX) {
		stream_t *s, *best = NULL;
		GHashTableIter it;

		g_hash_table_iter_init(&it, b->streams);
		while (g_hash_table_iter_next(&it, NULL, (void **)&s))
			if (s->phase == PHASE_WAITING &&
			    (best == NULL || s->priority < best->priority ||
				(s->priority == best->priority &&
				    s->serial < best->serial)))
				best = s;
		if (best == NULL)
			return;
		best->phase = PHASE_PREFILL;
		best->due = now + (ms_t)(best->prefill_ms * b->slow_factor);
		b->queued--;
		b->prefilling++;
	}
}

static void
advance_stream(batch_t *b, stream_t *s, ms_t now)
{
	if (s->phase == PHASE_PREFILL) {
		s->phase = PHASE_DECODE;
		b->prefilling--;
	}
	while (s->phase == PHASE_DECODE && s->due <= now) {
		if (s->made < s->total) {
			s->made++;
			record_of(b, s)->tokens++;
		}
		s->due += token_gap(b);
		if (s->made >= s->total)
			finish_stream(b, s, PHASE_ENDED);
	}
	b->wake(s);
}

ms_t
batch_step(batch_t *b, ms_t now)
{
	ms_t next = now + IDLE_MS;
	GHashTableIter it;
	stream_t *s;

	start_prefills(b, now);
	g_hash_table_iter_init(&it, b->streams);
	while (g_hash_table_iter_next(&it, NULL, (void **)&s)) {
		bool busy =
		    s->phase == PHASE_PREFILL || s->phase == PHASE_DECODE;

		if (busy && s->due <= now)
			advance_stream(b, s, now);
		if (s->idle_since != 0 &&
		    now - s->idle_since > UNREAD_STREAM_MS) {
			batch_cancel(b, s);
			g_hash_table_iter_remove(&it);
			stream_unref(s);
			continue;
		}
		if (s->phase == PHASE_PREFILL || s->phase == PHASE_DECODE)
			next = s->due < next ? s->due : next;
	}
	if (b->queued > 0 && b->prefilling < PREFILLS_MAX)
		return now;
	return next;
}

json_t *
batch_cache_json(const batch_t *b, uint64_t since, ms_t now)
{
	json_t *list = json_array();
	uint64_t next = since;
	char prefix[32];
	GList *l;

	for (l = b->events.head; l != NULL; l = l->next) {
		const cache_event_t *ev = l->data;

		if (ev->seq <= since)
			continue;
		if (now - ev->at < EVENT_LAG_MS)
			break;
		next = ev->seq;
		snprintf(prefix, sizeof(prefix), "%016" PRIx64, ev->prefix);
		json_array_append_new(list,
		    json_pack("{s:s,s:s}", "op",
			ev->stored ? "stored" : "evicted", "prefix", prefix));
	}
	return json_pack("{s:I,s:o}", "next", (json_int_t)next, "events", list);
}

void
batch_record(const batch_t *b, json_t *record)
{
	uint64_t i = b->started > RECORD_MAX ? b->started - RECORD_MAX + 1 : 1;
	json_t *list = json_array();

	for (; i <= b->started; i++) {
		const call_record_t *r = &b->records[i % RECORD_MAX];

		json_array_append_new(
		    list, json_pack("{s:s,s:s,s:s,s:I,s:i,s:i,s:b,s:b}", "id",
			      r->id, "model", r->model, "adapter", r->adapter,
			      "version", (json_int_t)r->version, "offset",
			      (int)r->offset, "tokens", (int)r->tokens, "ended",
			      r->ended, "cancelled", r->cancelled));
	}
	json_object_set_new(record, "calls", list);
	json_object_set_new(
	    record, "started", json_integer((json_int_t)b->started));
	json_object_set_new(record, "first_at_ms", json_integer(b->first_at));
	json_object_set_new(record, "last_at_ms", json_integer(b->last_at));
}
