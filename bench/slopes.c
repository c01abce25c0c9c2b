/*
 * Cost of a decision or a message by the size of the fleet: CPU time, bytes,
 * memory. Prints CSV with the median, minimum and maximum of the repeats.
 */
#include "bench/events.h"
#include "peer/wire.pb-c.h"
#include "policy/policy.h"

#include <malloc.h>
#include <string.h>
#include <time.h>

enum {
	REPEATS = 5,
	REPEAT_MIN_NS = 10000000, /* least time of one repeat */
	DOMAINS = 9,
	WORKER_MB = 640000,
	MODEL_MB = 80000,
	ADAPTER_MB = 400,
	SLOTS = 64,
	MODELS_PER_WORKER = 4,
	ADAPTERS_PER_MODEL = 5,
	SHARD_WORKERS = 8,
};

/* A measured operation; @p n is the size that the CSV shows. */
typedef struct benchmark {
	const char *name;
	int n;
	void *data;
	void (*op)(void *data);
	double bytes; /* of the message, or of memory */
} benchmark_t;

static int64_t
now_ns(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * 1000000000 + ts.tv_nsec;
}

static int64_t
heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return (int64_t)m.uordblks + (int64_t)m.hblkhd;
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a, y = *(const double *)b;

	return x < y ? -1 : x > y;
}

static void
measure(const benchmark_t *w)
{
	double ns[REPEATS];
	int64_t start, spent;
	int i, ops;

	w->op(w->data);
	for (i = 0; i < REPEATS; i++) {
		start = now_ns();
		ops = 0;
		do {
			w->op(w->data);
			ops++;
			spent = now_ns() - start;
		} while (spent < REPEAT_MIN_NS);
		ns[i] = (double)spent / ops;
	}
	qsort(ns, REPEATS, sizeof(ns[0]), compare_doubles);
	printf("%s,%d,%.0f,%.0f,%.0f,%.0f\n", w->name, w->n, ns[REPEATS / 2],
	    ns[0], ns[REPEATS - 1], w->bytes);
	fflush(stdout);
}

/* Placement */

typedef struct fleet {
	place_input_t in;
	place_output_t out;
	place_worker_t *worker;
	place_item_t *item;
	place_copy_t *copy;
	int models;
} fleet_t;

static void
fleet_items(fleet_t *f)
{
	int i, n = f->models * (1 + ADAPTERS_PER_MODEL);

	f->item = calloc_or_abort(n, sizeof(*f->item));
	for (i = 0; i < n; i++) {
		place_item_t *it = &f->item[i];
		bool model = i < f->models;

		snprintf(it->name, ID_MAX, "item-%d", i);
		str_set(it->service, ID_MAX, "llm");
		it->version = 1;
		it->wanted = true;
		it->copies_min = model ? 2 : 1;
		it->base = model ? -1 : i % f->models;
		it->memory_mb = model ? MODEL_MB : ADAPTER_MB;
	}
	f->in.item = f->item;
	f->in.nitem = n;
}

/*
 * Each worker holds MODELS_PER_WORKER models with their adapters. The demand
 * is 40 % of all slots.
 */
static fleet_t *
fleet_new(int workers)
{
	fleet_t *f = calloc_or_abort(1, sizeof(*f));
	int w, k, a, m, n = 0;

	f->models = workers * 52 / 1000 + 4;
	if (f->models > 520)
		f->models = 520;
	f->worker = calloc_or_abort(workers, sizeof(*f->worker));
	f->copy = calloc_or_abort(
	    (size_t)workers * MODELS_PER_WORKER * (1 + ADAPTERS_PER_MODEL),
	    sizeof(*f->copy));
	fleet_items(f);
	for (w = 0; w < workers; w++) {
		place_worker_t *p = &f->worker[w];

		snprintf(p->id, ID_MAX, "worker-%d", w);
		snprintf(p->domain, ID_MAX, "domain-%d", w % DOMAINS);
		str_set(p->service, ID_MAX, "llm");
		p->memory_mb = WORKER_MB;
		p->slots = SLOTS;
		p->usable = true;
		for (k = 0; k < MODELS_PER_WORKER; k++) {
			m = (w * 7 + k * 131) % f->models;
			for (a = 0; a <= ADAPTERS_PER_MODEL; a++)
				f->copy[n++] = (place_copy_t){ w,
					m + a * f->models, PLACE_READY };
			f->item[m].demand += SLOTS * 0.4 / MODELS_PER_WORKER;
		}
	}
	f->in.worker = f->worker;
	f->in.nworker = workers;
	f->in.copy = f->copy;
	f->in.ncopy = n;
	f->in.move_weight = 100;
	f->in.hysteresis = 20;
	f->in.model_loads_left = 20;
	f->in.adapter_loads_left = 200;
	return f;
}

static void
fleet_free(fleet_t *f)
{
	place_output_clear(&f->out);
	free(f->worker);
	free(f->item);
	free(f->copy);
	free(f);
}

static void
step(void *data)
{
	fleet_t *f = data;

	if (place_step(&f->in, &f->out, NULL) == -1)
		abort();
}

static void
measure_placement(void)
{
	static const int sizes[] = { 30, 100, 300, 1111, 3000, 10000 };
	size_t i;
	int k;

	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		fleet_t *f = fleet_new(sizes[i]);
		double bytes = (double)f->in.ncopy * sizeof(place_copy_t) +
			       (double)f->in.nworker * sizeof(place_worker_t) +
			       (double)f->in.nitem * sizeof(place_item_t);

		measure(&(benchmark_t){
		    "place_step_calm", sizes[i], f, step, bytes });
		/* the demand of one model in twenty rises tenfold */
		for (k = 0; k < f->models; k += 20)
			f->item[k].demand *= 10;
		measure(&(benchmark_t){
		    "place_step_burst", sizes[i], f, step, bytes });
		/* a failure domain is lost */
		for (k = 0; k < sizes[i]; k += DOMAINS)
			f->worker[k].usable = false;
		measure(&(benchmark_t){
		    "place_step_lost", sizes[i], f, step, bytes });
		fleet_free(f);
	}
}

/* Admission */

typedef struct shard {
	admit_t *a;
	admit_report_t report;
	admit_resident_t resident[MODELS_PER_WORKER * (1 + ADAPTERS_PER_MODEL)];
	int workers;
	ms_t now;
	uint64_t tag;
	handle_t slot;
} shard_t;

static void
shard_report(void *data)
{
	shard_t *s = data;

	s->report.taken_at = s->now++;
	admit_report(s->a, &s->report, s->now);
}

static void
shard_request(shard_t *s, ms_t left)
{
	admit_request_t q = { .item = "item-1",
		.model = "item-1",
		.priority = 1,
		.tag = s->tag++,
		.deadline = s->now + left };

	snprintf(q.caller, ID_MAX, "caller-%d", (int)(s->tag % 100));
	admit_put(s->a, &q, s->now);
}

static shard_t *
shard_new(int workers, int queued)
{
	admit_opts_t o = { 512, 1 << 30, 10, 1 };
	shard_t *s = calloc_or_abort(1, sizeof(*s));
	int i, n = (int)(sizeof(s->resident) / sizeof(s->resident[0]));
	admit_verdict_t v;

	s->a = admit_new(&o);
	if (s->a == NULL)
		abort();
	s->workers = workers;
	for (i = 0; i < n; i++)
		snprintf(s->resident[i].item, ID_MAX, "item-%d", i);
	s->report = (admit_report_t){
		.slots = SLOTS, .resident = s->resident, .nresident = n
	};
	for (i = 0; i < workers; i++) {
		snprintf(s->report.worker, ID_MAX, "worker-%d", i);
		shard_report(s);
	}
	for (i = 0; queued > 0 && i < workers * SLOTS + queued; i++) {
		shard_request(s, 1 << 29);
		while (admit_next(s->a, &v, s->now))
			s->slot = v.slot;
	}
	return s;
}

static void
shard_free(shard_t *s)
{
	admit_free(s->a);
	free(s);
}

/* A call arrives and one ends, so that the queue keeps its length. */
static void
request_and_release(void *data)
{
	shard_t *s = data;
	admit_verdict_t v;

	shard_request(s, 1 << 29);
	while (admit_next(s->a, &v, s->now))
		s->slot = v.slot;
	admit_release(s->a, s->slot, CALL_DONE, 100, 10, s->now);
	while (admit_next(s->a, &v, s->now))
		s->slot = v.slot;
}

static void
measure_admission(void)
{
	static const int queued[] = { 0, 32, 64, 128, 256, 512 };
	static const int workers[] = { 1, 4, 8, 16, 32, 64 };
	size_t i;
	int64_t before;

	for (i = 0; i < sizeof(queued) / sizeof(queued[0]); i++) {
		shard_t *s = shard_new(SHARD_WORKERS, queued[i]);

		measure(&(benchmark_t){ "admit_ask_by_queue", queued[i], s,
		    request_and_release, 0 });
		shard_free(s);
	}
	for (i = 0; i < sizeof(workers) / sizeof(workers[0]); i++) {
		shard_t *s;

		before = heap_bytes();
		s = shard_new(workers[i], 64);
		measure(&(benchmark_t){ "admit_ask_by_workers", workers[i], s,
		    request_and_release, (double)(heap_bytes() - before) });
		measure(&(benchmark_t){ "admit_report_by_workers", workers[i],
		    s, shard_report, 0 });
		shard_free(s);
	}
}

/* Routing */

typedef struct routing {
	route_shard_t *shard;
	char (*id)[ID_MAX];
	uint64_t *hash;
	int *order;
	int n;
	rng_t rng;
} routing_t;

static void
pick(void *data)
{
	routing_t *r = data;

	if (route_pick(
		r->shard, r->n, "domain-1", rng_next(&r->rng), &r->rng) == -1)
		abort();
}

static void
rank(void *data)
{
	routing_t *r = data;

	route_rank("key", (const char(*)[ID_MAX])r->id, r->n, r->order);
}

static void
first(void *data)
{
	routing_t *r = data;

	r->order[0] = route_first(rng_next(&r->rng), r->hash, r->n);
}

static void
measure_routing(void)
{
	static const int sizes[] = { 8, 32, 123, 400, 1100, 2200 };
	char domain[DOMAINS][ID_MAX];
	size_t k;
	int i;

	for (i = 0; i < DOMAINS; i++)
		snprintf(domain[i], ID_MAX, "domain-%d", i);
	for (k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		routing_t r = { .n = sizes[k], .rng = { 1 } };

		r.shard = calloc_or_abort(r.n, sizeof(*r.shard));
		r.id = calloc_or_abort(r.n, sizeof(*r.id));
		r.hash = calloc_or_abort(r.n, sizeof(*r.hash));
		r.order = calloc_or_abort(r.n, sizeof(*r.order));
		for (i = 0; i < r.n; i++) {
			snprintf(r.id[i], ID_MAX, "instance-%d", i);
			r.hash[i] = hash_str(r.id[i], 0);
			r.shard[i] =
			    (route_shard_t){ .domain = domain[i % DOMAINS],
				    .copies = SHARD_WORKERS,
				    .free_slots = i % 40,
				    .wait = 40 - i % 40,
				    .id_hash = r.hash[i] };
		}
		measure(&(benchmark_t){ "route_pick", r.n, &r, pick, 0 });
		measure(&(benchmark_t){ "route_rank", r.n, &r, rank, 0 });
		measure(&(benchmark_t){ "route_first", r.n, &r, first, 0 });
		free(r.shard);
		free(r.id);
		free(r.hash);
		free(r.order);
	}
}

/* Messages */

typedef struct message {
	Wire__Frame frame;
	uint8_t *buf;
	size_t len;
} message_t;

static void
pack(void *data)
{
	message_t *m = data;

	m->len = wire__frame__pack(&m->frame, m->buf);
}

static void
unpack(void *data)
{
	message_t *m = data;
	Wire__Frame *f = wire__frame__unpack(NULL, m->len, m->buf);

	if (f == NULL)
		abort();
	wire__frame__free_unpacked(f, NULL);
}

static void
measure_message(const char *name, int n, message_t *m)
{
	char what[ID_MAX];
	Wire__Frame *f;
	int64_t before;

	m->frame.version = 1;
	m->frame.call = 123456;
	m->len = wire__frame__get_packed_size(&m->frame);
	m->buf = calloc_or_abort(1, m->len);
	snprintf(what, sizeof(what), "pack_%s", name);
	measure(&(benchmark_t){ what, n, m, pack, (double)m->len });
	before = heap_bytes();
	f = wire__frame__unpack(NULL, m->len, m->buf);
	before = heap_bytes() - before;
	wire__frame__free_unpacked(f, NULL);
	/* here the bytes are of memory, not on the wire */
	snprintf(what, sizeof(what), "unpack_%s", name);
	measure(&(benchmark_t){ what, n, m, unpack, (double)before });
	free(m->buf);
}

static void
measure_slot_messages(void)
{
	Wire__SlotRequest request = WIRE__SLOT_REQUEST__INIT;
	Wire__SlotAnswer answer = WIRE__SLOT_ANSWER__INIT;
	Wire__SlotRelease release = WIRE__SLOT_RELEASE__INIT;
	message_t m = { .frame = WIRE__FRAME__INIT };

	request.request = "0123456789abcdef0123456789abcdef";
	request.service = "report-llm";
	request.domain = "me-augusta-domain";
	request.index = 100;
	request.model = "skid-summary-large";
	request.adapter = "skid-summary-maine";
	request.caller = "granite-ridge-crew-2";
	request.priority = 1;
	request.remaining_ms = 2000;
	request.prefix = 0x123456789abcdef0u;
	request.tokens = 500;
	m.frame.body_case = WIRE__FRAME__BODY_SLOT_REQUEST;
	m.frame.slot_request = &request;
	measure_message("slot_ask", 1, &m);
	answer.slot = 0x123456789abcdef0u;
	answer.worker = "worker-me-augusta-0123";
	answer.addr = "10.123.123.123:8080";
	answer.version = 12;
	answer.free = 100;
	m.frame.body_case = WIRE__FRAME__BODY_SLOT_ANSWER;
	m.frame.slot_answer = &answer;
	measure_message("slot_answer", 1, &m);
	release.slot = answer.slot;
	release.worker = answer.worker;
	release.first_ms = 300;
	release.tokens = 355;
	m.frame.body_case = WIRE__FRAME__BODY_SLOT_RELEASE;
	m.frame.slot_release = &release;
	measure_message("slot_release", 1, &m);
}

/* A shard's digest with @p residents residents on each of its workers. */
static Wire__Digest *
digest_new(int index, int residents)
{
	Wire__Digest *d = calloc_or_abort(1, sizeof(*d));
	int w, i;

	wire__digest__init(d);
	d->service = "report-llm";
	d->domain = "me-augusta";
	d->index = index;
	d->broker = "entry-me-augusta-012";
	d->term = 1700000000000;
	d->seq = 123456;
	d->n_worker = SHARD_WORKERS;
	d->worker = calloc_or_abort(SHARD_WORKERS, sizeof(Wire__WorkerLoad *));
	for (w = 0; w < SHARD_WORKERS; w++) {
		Wire__WorkerLoad *l = calloc_or_abort(1, sizeof(*l));

		wire__worker_load__init(l);
		l->worker = "worker-me-augusta-0123";
		l->free = 30;
		l->used_mb = 500000;
		l->n_resident = residents;
		l->resident =
		    calloc_or_abort(residents + 1, sizeof(Wire__Resident *));
		for (i = 0; i < residents; i++) {
			l->resident[i] =
			    calloc_or_abort(1, sizeof(Wire__Resident));
			wire__resident__init(l->resident[i]);
			l->resident[i]->model = "skid-summary-large";
			l->resident[i]->adapter = "skid-summary-maine";
			l->resident[i]->version = 12;
			l->resident[i]->state = 1;
		}
		d->worker[w] = l;
	}
	return d;
}

static void
digest_free(Wire__Digest *d)
{
	size_t w, i;

	for (w = 0; w < d->n_worker; w++) {
		for (i = 0; i < d->worker[w]->n_resident; i++)
			free(d->worker[w]->resident[i]);
		free(d->worker[w]->resident);
		free(d->worker[w]);
	}
	free(d->worker);
	free(d);
}

static Wire__Member member = WIRE__MEMBER__INIT;
static Wire__Worker worker = WIRE__WORKER__INIT;

static void
fill_members(void)
{
	member.id = "entry-me-augusta-012";
	member.domain = "me-augusta";
	member.incarnation = 1700000000000;
	member.seq = 123456;
	member.caller_addr = "10.123.123.123:8080";
	member.peer_addr = "10.123.123.123:8081";
	member.operator_addr = "10.123.123.123:8082";
	member.in_force = 12345;
	member.load = 100;
	worker.id = "worker-me-augusta-0123";
	worker.service = "report-llm";
	worker.domain = "me-augusta";
	worker.addr = "10.123.123.123:9000";
	worker.memory_mb = WORKER_MB;
	worker.slots = SLOTS;
}

static void
measure_heartbeats(void)
{
	static const int sizes[] = { 1, 8, 32, 123, 400, 1100 };
	static const int residents[] = { 0, 4, 12, 24, 48 };
	static Wire__Member *members[1100];
	Wire__Heartbeat h = WIRE__HEARTBEAT__INIT;
	Wire__View v = WIRE__VIEW__INIT;
	message_t m = { .frame = WIRE__FRAME__INIT };
	Wire__Digest *d;
	size_t k;

	h.member = &member;
	m.frame.body_case = WIRE__FRAME__BODY_HEARTBEAT;
	m.frame.heartbeat = &h;
	measure_message("heartbeat", 1, &m);
	for (k = 0; k < sizeof(members) / sizeof(members[0]); k++)
		members[k] = &member;
	v.member = members;
	m.frame.body_case = WIRE__FRAME__BODY_VIEW;
	m.frame.view = &v;
	for (k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		v.n_member = sizes[k];
		measure_message("view_by_members", sizes[k], &m);
	}
	v.n_member = 0;
	v.n_digest = 1;
	v.digest = &d;
	for (k = 0; k < sizeof(residents) / sizeof(residents[0]); k++) {
		d = digest_new(1, residents[k]);
		measure_message("digest_by_residents", residents[k], &m);
		digest_free(d);
	}
}

/* A view of n workers with n/9 members and n/8 digests. */
static void
measure_views(void)
{
	static const int sizes[] = { 24, 100, 400, 1111, 3000, 10000 };
	enum {
		WORKERS_MAX = 10000,
		WORKERS_PER_MEMBER = 9,
		RESIDENTS = MODELS_PER_WORKER
	};
	static Wire__Member *members[WORKERS_MAX / WORKERS_PER_MEMBER + 1];
	static Wire__Worker *workers[WORKERS_MAX];
	static Wire__Digest *digests[WORKERS_MAX / SHARD_WORKERS];
	Wire__View v = WIRE__VIEW__INIT;
	message_t m = { .frame = WIRE__FRAME__INIT };
	size_t k;
	int i;

	for (i = 0; i < WORKERS_MAX; i++)
		workers[i] = &worker;
	for (i = 0; i < WORKERS_MAX / WORKERS_PER_MEMBER + 1; i++)
		members[i] = &member;
	for (i = 0; i < WORKERS_MAX / SHARD_WORKERS; i++)
		digests[i] = digest_new(i, RESIDENTS);
	v.member = members;
	v.worker = workers;
	v.digest = digests;
	m.frame.body_case = WIRE__FRAME__BODY_VIEW;
	m.frame.view = &v;
	for (k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		v.n_worker = sizes[k];
		v.n_member = sizes[k] / WORKERS_PER_MEMBER;
		v.n_digest = sizes[k] / SHARD_WORKERS;
		measure_message("view_by_workers", sizes[k], &m);
	}
	for (i = 0; i < WORKERS_MAX / SHARD_WORKERS; i++)
		digest_free(digests[i]);
}

/* The catalogue */

typedef struct catalogue_work {
	catalogue_t *c;
	char *text;
	size_t len;
} catalogue_work_t;

static void
encode(void *data)
{
	catalogue_work_t *b = data;

	free(catalogue_encode(b->c));
}

static void
decode(void *data)
{
	catalogue_work_t *b = data;
	catalogue_t *c = catalogue_decode(b->text, b->len, NULL);

	if (c == NULL)
		abort();
	catalogue_unref(c);
}

static void
measure_catalogues(void)
{
	static const int sizes[] = { 20, 65, 130, 260, 520 };
	size_t k;
	int i;

	for (k = 0; k < sizeof(sizes) / sizeof(sizes[0]); k++) {
		catalogue_t *c = catalogue_new();
		catalogue_work_t b = { .c = c };

		c->number = 1;
		c->nmodel = sizes[k];
		c->nadapter = sizes[k] * ADAPTERS_PER_MODEL;
		c->model = calloc_or_abort(c->nmodel, sizeof(*c->model));
		c->adapter = calloc_or_abort(c->nadapter, sizeof(*c->adapter));
		for (i = 0; i < c->nmodel; i++) {
			snprintf(c->model[i].name, ID_MAX, "model-%04d", i);
			str_set(c->model[i].service, ID_MAX, "report-llm");
			c->model[i].version = 1;
			c->model[i].memory_mb = MODEL_MB;
			c->model[i].copies_min = 2;
		}
		for (i = 0; i < c->nadapter; i++) {
			snprintf(c->adapter[i].name, ID_MAX, "adapter-%05d", i);
			snprintf(c->adapter[i].model, ID_MAX, "model-%04d",
			    i % c->nmodel);
			c->adapter[i].version = 1;
			c->adapter[i].memory_mb = ADAPTER_MB;
		}
		b.text = catalogue_encode(c);
		b.len = strlen(b.text);
		measure(&(benchmark_t){
		    "catalogue_encode", sizes[k], &b, encode, (double)b.len });
		measure(
		    &(benchmark_t){ "catalogue_decode", sizes[k], &b, decode,
			(double)c->nmodel * sizeof(model_t) +
			    (double)c->nadapter * sizeof(adapter_t) });
		free(b.text);
		catalogue_unref(c);
	}
}

int
main(void)
{
	printf("what,n,ns,ns_least,ns_most,bytes\n");
	fill_members();
	measure_placement();
	measure_admission();
	measure_routing();
	measure_slot_messages();
	measure_heartbeats();
	measure_views();
	measure_catalogues();
	return 0;
}
