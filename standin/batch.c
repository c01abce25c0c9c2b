#include "standin/batch.h"

#include "standin/token.h"
#include "standin/web.h"

#include <stdlib.h>
#include <string.h>

enum {
	PREFILLS = 4,	   /* prompts worked on at once */
	BLOCK = 64,	   /* bytes of a prompt cached as one */
	BLOCKS_MAX = 4096, /* cached by an engine */
	EVENTS_MAX = 1024,
	EVENT_LAG_MS = 200, /* until an event is told */
	EVENT_LOSS = 20,    /* one event of this many is lost */
	LINGER_MS = 3000,   /* a stream without a reader is kept */
	RAN_MAX = 20000,
	IDLE_MS = 50, /* between steps with nothing to do */
};

static const double warm = 0.25; /* share of first_ms with all cached */
static const double crowd = 0.5; /* longer token gap of a full batch */

void
batch_init(batch_t *b, const batch_opts_t *o, memory_t *m)
{
	memset(b, 0, sizeof(*b));
	b->o = *o;
	b->memory = m;
	b->slow = 1;
	b->rng.s = o->seed;
	b->stream = g_hash_table_new(g_str_hash, g_str_equal);
	b->block = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&b->lru);
	g_queue_init(&b->event);
	b->ran = g_new0(ran_t, RAN_MAX);
}

static void
tell(batch_t *b, bool stored, uint64_t prefix)
{
	cache_event_t *ev;

	b->event_seq++;
	if (rng_next(&b->rng) % EVENT_LOSS == 0)
		return;
	ev = g_new0(cache_event_t, 1);
	ev->seq = b->event_seq;
	ev->at = clock_now(&machine_clock);
	ev->stored = stored;
	ev->prefix = prefix;
	g_queue_push_tail(&b->event, ev);
	if (b->event.length > EVENTS_MAX)
		g_free(g_queue_pop_head(&b->event));
}

static void
evict(batch_t *b)
{
	uint64_t *old = g_queue_pop_head(&b->lru);

	tell(b, false, *old);
	g_hash_table_remove(b->block, old);
	g_free(old);
}

/* Put a prompt's blocks into the cache. @return the share that was there. */
static double
cache(batch_t *b, const char *prompt, const char *model)
{
	uint64_t chain = hash_str(model, 0);
	size_t at, len = strlen(prompt), hits = 0, n = 0;
	bool hit = true;

	for (at = 0; at < len; at += BLOCK, n++) {
		GList *link;

		chain = hash64(
		    prompt + at, len - at < BLOCK ? len - at : BLOCK, chain);
		link = g_hash_table_lookup(b->block, &chain);
		hit = hit && link != NULL;
		hits += hit;
		if (link != NULL) {
			g_queue_unlink(&b->lru, link);
			g_queue_push_tail_link(&b->lru, link);
			continue;
		}
		g_queue_push_tail(&b->lru, g_memdup2(&chain, sizeof(chain)));
		g_hash_table_insert(b->block, b->lru.tail->data, b->lru.tail);
		tell(b, true, chain);
		if (b->lru.length > BLOCKS_MAX)
			evict(b);
	}
	return n == 0 ? 1 : (double)hits / n;
}

static ran_t *
ran_of(batch_t *b, const stream_t *s)
{
	ran_t *r = &b->ran[s->serial % RAN_MAX];
	static ran_t gone;

	return r->serial == s->serial ? r : &gone;
}

static void
note_start(batch_t *b, stream_t *s)
{
	ran_t *r;

	s->serial = ++b->started;
	r = &b->ran[s->serial % RAN_MAX];
	memset(r, 0, sizeof(*r));
	r->serial = s->serial;
	str_copy(r->id, sizeof(r->id), s->id);
	str_copy(r->model, sizeof(r->model), s->model->model);
	if (s->adapter != NULL)
		str_copy(r->adapter, sizeof(r->adapter), s->adapter->adapter);
	r->version = s->model->version;
	r->offset = s->from;
	b->last_at = clock_wall();
	if (b->first_at == 0)
		b->first_at = b->last_at;
}

stream_t *
batch_add(batch_t *b, const char *id, const char *prompt, uint32_t from,
    uint32_t most, uint32_t rank, item_t *model, item_t *adapter)
{
	stream_t *s = batch_find(b, id);
	double cached = cache(b, prompt, model->model);

	if (s != NULL) {
		batch_cancel(b, s);
		g_hash_table_remove(b->stream, s->id);
		stream_unref(s);
	}
	s = g_new0(stream_t, 1);
	str_copy(s->id, sizeof(s->id), id);
	s->prompt = g_strdup(prompt);
	s->from = s->made = from;
	s->total = token_count(prompt, most);
	s->cut_short = token_count(prompt, UINT32_MAX) > most;
	s->rank = rank;
	s->prefill = b->o.first_ms * (warm + (1 - warm) * (1 - cached));
	s->refs = 1;
	s->model = model;
	s->adapter = adapter;
	s->reader = g_ptr_array_new();
	s->idle_at = clock_now(&machine_clock);
	item_use(model);
	item_use(adapter);
	g_hash_table_insert(b->stream, s->id, s);
	b->in_flight++;
	b->queued++;
	note_start(b, s);
	return s;
}

stream_t *
batch_find(batch_t *b, const char *id)
{
	return g_hash_table_lookup(b->stream, id);
}

void
stream_unref(stream_t *s)
{
	if (--s->refs > 0)
		return;
	g_ptr_array_free(s->reader, TRUE);
	g_free(s->prompt);
	g_free(s);
}

/* A stream leaves the batch; it can still be read. */
static void
finish(batch_t *b, stream_t *s, phase_t how)
{
	ran_t *r = ran_of(b, s);

	if (s->phase == PHASE_WAITING)
		b->queued--;
	else if (s->phase == PHASE_PREFILL)
		b->prefilling--;
	b->in_flight--;
	s->phase = how;
	r->ended = how == PHASE_ENDED;
	r->cancelled = how == PHASE_CANCELLED;
	item_leave(b->memory, s->adapter);
	item_leave(b->memory, s->model);
	b->wake(s);
}

void
batch_cancel(batch_t *b, stream_t *s)
{
	if (s->phase < PHASE_ENDED)
		finish(b, s, PHASE_CANCELLED);
}

static ms_t
gap(const batch_t *b)
{
	double load = (double)b->in_flight / (b->o.slots == 0 ? 1 : b->o.slots);
	ms_t span = b->o.token_ms * b->slow * (1 + crowd * load);

	return span < 1 ? 1 : span;
}

/* Give free prefill places to the most urgent, of those to the oldest. */
static void
prefill(batch_t *b, ms_t now)
{
	while (b->queued > 0 && b->prefilling < PREFILLS) {
		stream_t *s, *best = NULL;
		GHashTableIter it;

		g_hash_table_iter_init(&it, b->stream);
		while (g_hash_table_iter_next(&it, NULL, (void **)&s))
			if (s->phase == PHASE_WAITING &&
			    (best == NULL || s->rank < best->rank ||
				(s->rank == best->rank &&
				    s->serial < best->serial)))
				best = s;
		if (best == NULL)
			return;
		best->phase = PHASE_PREFILL;
		best->due = now + (ms_t)(best->prefill * b->slow);
		b->queued--;
		b->prefilling++;
	}
}

static void
advance(batch_t *b, stream_t *s, ms_t now)
{
	if (s->phase == PHASE_PREFILL) {
		s->phase = PHASE_DECODE;
		b->prefilling--;
	}
	while (s->phase == PHASE_DECODE && s->due <= now) {
		if (s->made < s->total) {
			s->made++;
			ran_of(b, s)->tokens++;
		}
		s->due += gap(b);
		if (s->made >= s->total)
			finish(b, s, PHASE_ENDED);
	}
	b->wake(s);
}

ms_t
batch_step(batch_t *b, ms_t now)
{
	ms_t next = now + IDLE_MS;
	GHashTableIter it;
	stream_t *s;

	prefill(b, now);
	g_hash_table_iter_init(&it, b->stream);
	while (g_hash_table_iter_next(&it, NULL, (void **)&s)) {
		bool busy =
		    s->phase == PHASE_PREFILL || s->phase == PHASE_DECODE;

		if (busy && s->due <= now)
			advance(b, s, now);
		if (s->idle_at != 0 && now - s->idle_at > LINGER_MS) {
			batch_cancel(b, s);
			g_hash_table_iter_remove(&it);
			stream_unref(s);
			continue;
		}
		if (s->phase == PHASE_PREFILL || s->phase == PHASE_DECODE)
			next = s->due < next ? s->due : next;
	}
	if (b->queued > 0 && b->prefilling < PREFILLS)
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

	for (l = b->event.head; l != NULL; l = l->next) {
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
	uint64_t i = b->started > RAN_MAX ? b->started - RAN_MAX + 1 : 1;
	json_t *list = json_array();

	for (; i <= b->started; i++) {
		const ran_t *r = &b->ran[i % RAN_MAX];

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
