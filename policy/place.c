#include "policy/fleet.h"

#include <stdlib.h>
#include <string.h>

enum {
	VICTIMS_MAX = 32, /* copies unloaded for one load */
	/* Workers searched for victims, in a step and for one copy. */
	STEP_SCANS_MAX = 16384,
	COPY_SCANS_MAX = 256,
	RELOCATIONS_MAX = 8,   /* calls of relocate_copy() in a step */
	POINTS_PER_CALL = 100, /* move_weight is in hundredths of a call */
	DOMAINS_WANTED = 2,    /* failure domains with a copy of each item */
};

/*
 * Free memory is filled with copies for a burst of burst_factor times the
 * demand. A call of that burst counts as burst_weight of a call in progress.
 */
static const double burst_factor = 10, burst_weight = 0.25;
/* The worth of a copy in a second failure domain, in calls in progress. */
static const double second_domain_calls = 1;
/*
 * Weights in a worker's score: of a failure domain without a copy, of its
 * share of spare slots, of its share of free memory.
 */
static const double domain_weight = 4, spare_weight = 1, memory_weight = 0.5;

/* A reason for further copies of an item. */
typedef struct need {
	move_reason_t reason;
	int item;
	bool no_version_ready; /* of the item's name */
	double unserved;       /* calls in progress without a slot */
	uint32_t memory_mb;
	uint64_t hash;
} need_t;

/* Copies to be unloaded from one worker to make room there. */
typedef struct victims {
	int worker;
	bool allow_one_domain; /* as for fleet_may_unload() */
	int copy[VICTIMS_MAX];
	int n;
	double loss; /* calls in progress */
} victims_t;

typedef struct plan {
	fleet_t fleet;
	const place_input_t *in;
	place_output_t *out;
	err_t *e;
	int model_loads_left, adapter_loads_left;
	int scans_left; /* of workers for victims */
	int relocations_left;
	need_t *need;
	int nneed;
	int64_t *max_free_mb; /* by service; an upper bound */
} plan_t;

static const char *const reasons[] = { "first_copy", "repair", "spread",
	"demand", "headroom", "withdrawn", "make_room", "surplus" };

const char *
move_reason_name(move_reason_t r)
{
	return reasons[r];
}

void
place_output_clear(place_output_t *out)
{
	free(out->move);
	memset(out, 0, sizeof(*out));
}

static int
add_move(
    plan_t *p, move_kind_t kind, move_reason_t reason, int worker, int item)
{
	place_output_t *o = p->out;
	place_move_t *m;
	int capacity;

	if (o->nmove == o->capacity) {
		capacity = o->capacity == 0 ? 32 : 2 * o->capacity;
		m = realloc(o->move, capacity * sizeof(*m));
		if (m == NULL)
			return err_set(p->e, ERR_INTERNAL, "out of memory");
		o->move = m;
		o->capacity = capacity;
	}
	o->move[o->nmove++] = (place_move_t){ kind, reason, worker, item };
	return 0;
}

static int *
load_budget(plan_t *p, int item)
{
	return p->in->item[item].base == NONE ? &p->model_loads_left
					      : &p->adapter_loads_left;
}

static int
plan_load(plan_t *p, move_reason_t reason, int worker, int item)
{
	if (fleet_plan_load(&p->fleet, worker, item, p->e) == -1)
		return -1;
	--*load_budget(p, item);
	return add_move(p, MOVE_LOAD, reason, worker, item);
}

static int
plan_unload_copy(plan_t *p, move_reason_t reason, int copy)
{
	fleet_copy_t c = p->fleet.copy[copy];

	if (c.state != PLACE_READY)
		return 0;
	fleet_plan_unload(&p->fleet, copy);
	return add_move(p, MOVE_UNLOAD, reason, c.worker, c.item);
}

/* Unloads a copy; before a base, the adapters on the worker that need it. */
static int
plan_unload(plan_t *p, move_reason_t reason, int copy)
{
	fleet_t *f = &p->fleet;
	int c, worker = f->copy[copy].worker, item = f->copy[copy].item;

	if (p->in->item[item].base == NONE && !fleet_has_other_version(f, copy))
		for (c = f->worker[worker].first_copy; c != NONE;
		     c = f->copy[c].worker_next)
			if (fleet_is_adapter_of(
				f, &f->copy[c], &f->copy[copy]) &&
			    plan_unload_copy(p, reason, c) == -1)
				return -1;
	return plan_unload_copy(p, reason, copy);
}

/* Unloads that don't depend on a load: withdrawn, replaced, unusable. */

/* Are enough copies of wanted versions ready, or is none wanted? */
static bool
is_replaced(const plan_t *p, int item)
{
	const version_group_t *g = &p->fleet.group[p->fleet.item[item].group];
	int min_copies = g->copies_min > 1 ? g->copies_min : 1;

	return g->nwanted == 0 || g->wanted_ready >= min_copies;
}

/* An adapter on a worker where its base is neither ready nor loading. */
static bool
is_orphan(const plan_t *p, const fleet_copy_t *c)
{
	const fleet_t *f = &p->fleet;
	const fleet_copy_t *other;
	int i;

	if (c->counted || p->in->item[c->item].base == NONE)
		return false;
	for (i = f->worker[c->worker].first_copy; i != NONE;
	     i = other->worker_next) {
		other = &f->copy[i];
		if (other->state == PLACE_LOADING &&
		    fleet_is_adapter_of(f, c, other))
			return false;
	}
	return true;
}

static int
unload_unneeded(plan_t *p, int item)
{
	fleet_t *f = &p->fleet;
	bool wanted = p->in->item[item].wanted;
	fleet_copy_t *c;
	int i;

	for (i = f->item[item].first_copy; i != NONE; i = c->item_next) {
		c = &f->copy[i];
		if (c->state != PLACE_READY || !p->in->worker[c->worker].usable)
			continue;
		if (is_orphan(p, c)) {
			if (plan_unload(p, REASON_SURPLUS, i) == -1)
				return -1;
		} else if (!wanted && is_replaced(p, item) &&
			   fleet_may_unload(f, i, true)) {
			if (plan_unload(p, REASON_WITHDRAWN, i) == -1)
				return -1;
		}
	}
	return 0;
}

/* The choice of a worker for a load. */

static int
worker_may_take(const plan_t *p, int worker, int item)
{
	const fleet_t *f = &p->fleet;

	return p->in->worker[worker].usable &&
	       f->worker[worker].service == f->item[item].service &&
	       fleet_find_copy(f, worker, item) == NONE &&
	       (p->in->item[item].base == NONE ||
		   fleet_has_base(f, worker, item));
}

static double
worker_score(const plan_t *p, int worker, int item)
{
	const fleet_worker_t *fw = &p->fleet.worker[worker];
	const fleet_item_t *fi = &p->fleet.item[item];
	const place_worker_t *w = &p->in->worker[worker];
	double v = spare_weight * fw->spare_calls / (w->slots + 1) +
		   memory_weight * (double)fw->free_mb / (w->memory_mb + 1);

	if (fi->domain_copies[fw->domain] == 0 && fi->ndomains < DOMAINS_WANTED)
		v += domain_weight;
	return v;
}

/* Is worker @p a better than @p b for the item? Ties go by hash. */
static bool
is_better_worker(const plan_t *p, int item, int a, double va, int b, double vb)
{
	uint64_t hash = p->fleet.item[item].hash;

	if (b == NONE || va != vb)
		return b == NONE || va > vb;
	return route_score(hash, p->fleet.worker[a].hash) >
	       route_score(hash, p->fleet.worker[b].hash);
}

typedef struct search {
	int item;
	bool new_domain; /* only failure domains without a copy */
	int best;
	double score;
} search_t;

static void
consider_worker(const plan_t *p, search_t *s, int worker)
{
	const fleet_worker_t *fw = &p->fleet.worker[worker];
	double v;

	if (fw->free_mb < p->in->item[s->item].memory_mb ||
	    !worker_may_take(p, worker, s->item))
		return;
	if (s->new_domain &&
	    p->fleet.item[s->item].domain_copies[fw->domain] > 0)
		return;
	v = worker_score(p, worker, s->item);
	if (is_better_worker(p, s->item, worker, v, s->best, s->score)) {
		s->best = worker;
		s->score = v;
	}
}

/* Considers the workers that have a version of an adapter's base. */
static void
consider_base_workers(const plan_t *p, search_t *s)
{
	const fleet_t *f = &p->fleet;
	int base = p->in->item[s->item].base;
	int c, i = f->group[f->item[base].group].first_item;

	for (; i != NONE; i = f->item[i].next_version)
		for (c = f->item[i].first_copy; c != NONE;
		     c = f->copy[c].item_next)
			consider_worker(p, s, f->copy[c].worker);
}

/* @return the best worker with enough free memory, or NONE */
static int
find_worker_with_room(plan_t *p, int item, bool new_domain)
{
	const fleet_t *f = &p->fleet;
	search_t s = { item, new_domain, NONE, 0 };
	int i, service = f->item[item].service;
	int64_t most = 0;

	if (p->in->item[item].base != NONE) {
		consider_base_workers(p, &s);
		return s.best;
	}
	if (p->max_free_mb[service] < p->in->item[item].memory_mb)
		return NONE;
	for (i = 0; i < p->in->nworker; i++) {
		if (f->worker[i].service != service)
			continue;
		consider_worker(p, &s, i);
		if (f->worker[i].free_mb > most && p->in->worker[i].usable)
			most = f->worker[i].free_mb;
	}
	p->max_free_mb[service] = most;
	return s.best;
}

/* The choice of copies to unload for a load. */

static bool
is_victim(const victims_t *v, int copy)
{
	int i;

	for (i = 0; i < v->n; i++)
		if (v->copy[i] == copy)
			return true;
	return false;
}

/* The cost of unloading a copy, in calls in progress. */
static double
unload_loss(const plan_t *p, int copy)
{
	const fleet_t *f = &p->fleet;
	double loss = fleet_unserved_without(
	    f, copy, 1 + (double)p->in->hysteresis / 100);

	if (p->in->item[f->copy[copy].item].base == NONE &&
	    !fleet_may_unload(f, copy, false))
		loss += second_domain_calls;
	return loss;
}

/* Adds a copy and the adapters that need it. @return MB that they free */
static int64_t
add_victim(const plan_t *p, victims_t *v, int copy)
{
	const fleet_t *f = &p->fleet;
	const fleet_copy_t *c = &f->copy[copy];
	int64_t mb = p->in->item[c->item].memory_mb;
	int i;

	v->copy[v->n++] = copy;
	v->loss += unload_loss(p, copy);
	if (p->in->item[c->item].base != NONE ||
	    fleet_has_other_version(f, copy))
		return mb;
	for (i = f->worker[c->worker].first_copy; i != NONE;
	     i = f->copy[i].worker_next) {
		if (!fleet_is_adapter_of(f, &f->copy[i], c) ||
		    f->copy[i].state != PLACE_READY || is_victim(v, i) ||
		    v->n == VICTIMS_MAX)
			continue;
		v->copy[v->n++] = i;
		v->loss += unload_loss(p, i);
		mb += p->in->item[f->copy[i].item].memory_mb;
	}
	return mb;
}

/* @return the copy on the worker with the least loss, or NONE */
static int
next_victim(const plan_t *p, const victims_t *v, int item)
{
	const fleet_t *f = &p->fleet;
	int i, base = p->in->item[item].base, best = NONE;
	uint32_t mb, best_mb = 0;
	double loss, least = 0;

	for (i = f->worker[v->worker].first_copy; i != NONE;
	     i = f->copy[i].worker_next) {
		const fleet_copy_t *c = &f->copy[i];

		if (is_victim(v, i) ||
		    !fleet_may_unload(f, i, v->allow_one_domain))
			continue;
		if (base != NONE &&
		    f->item[c->item].group == f->item[base].group)
			continue;
		loss = unload_loss(p, i);
		mb = p->in->item[c->item].memory_mb;
		if (best == NONE || loss < least ||
		    (loss == least && mb > best_mb)) {
			best = i;
			least = loss;
			best_mb = mb;
		}
	}
	return best;
}

/* Finds copies on a worker to unload for the item. @return false: too few */
static bool
find_victims(const plan_t *p, victims_t *v, int worker, int item)
{
	const fleet_worker_t *fw = &p->fleet.worker[worker];
	int64_t mb = fw->free_mb + fw->unloading_mb;
	int c;

	v->worker = worker;
	v->n = 0;
	v->loss = 0;
	while (mb < p->in->item[item].memory_mb) {
		c = next_victim(p, v, item);
		if (c == NONE || v->n >= VICTIMS_MAX / 2)
			return false;
		mb += add_victim(p, v, c);
	}
	return true;
}

/*
 * Chooses the worker, and the victims there, where room for the item costs
 * least. @return false if there is none
 */
static bool
choose_victims(plan_t *p, move_reason_t reason, int item, victims_t *best)
{
	bool new_domain = reason == REASON_SPREAD;
	const fleet_t *f = &p->fleet;
	int i, w, n = p->in->nworker, scanned = 0;
	int start = n > 0 ? (int)(f->item[item].hash % n) : 0;
	victims_t v;
	double cost, least = 0;

	best->worker = NONE;
	v.allow_one_domain = reason != REASON_SPREAD;
	for (i = 0; i < n && scanned < COPY_SCANS_MAX && p->scans_left > 0;
	     i++) {
		w = (start + i) % n;
		if (!worker_may_take(p, w, item) ||
		    (new_domain &&
			f->item[item].domain_copies[f->worker[w].domain] > 0))
			continue;
		scanned++;
		p->scans_left--;
		if (!find_victims(p, &v, w, item))
			continue;
		cost = v.loss + v.n - worker_score(p, w, item);
		if (best->worker == NONE || cost < least) {
			*best = v;
			least = cost;
		}
	}
	return best->worker != NONE;
}

/*
 * Unloads the victims and sets their memory aside for the item. It is loaded in
 * a later step, once they are gone.
 */
static int
unload_victims(plan_t *p, const victims_t *v, int item)
{
	int i;

	for (i = 0; i < v->n; i++)
		if (plan_unload(p, REASON_MAKE_ROOM, v->copy[i]) == -1)
			return -1;
	p->fleet.worker[v->worker].free_mb -= p->in->item[item].memory_mb;
	return 0;
}

/*
 * For an item that fits nowhere and for which no copies may be unloaded: loads
 * a second copy of a model that takes up the room on some worker. When that is
 * ready, a later step may unload the first.
 */
static int
relocate_copy(plan_t *p, int item)
{
	const fleet_t *f = &p->fleet;
	uint32_t want = p->in->item[item].memory_mb;
	int i, w, to;

	if (p->in->item[item].base != NONE || p->relocations_left == 0)
		return 0;
	p->relocations_left--;
	for (i = 0; i < f->ncopy; i++) {
		const fleet_copy_t *c = &f->copy[i];
		const place_item_t *moved = &p->in->item[c->item];

		w = c->worker;
		if (c->state != PLACE_READY || !c->counted || !moved->wanted ||
		    moved->base != NONE || moved->memory_mb >= want ||
		    f->worker[w].free_mb + f->worker[w].unloading_mb +
			    moved->memory_mb <
			want ||
		    !worker_may_take(p, w, item) ||
		    f->item[c->item].loading > 0)
			continue;
		to = find_worker_with_room(p, c->item, false);
		if (to != NONE)
			return plan_load(p, REASON_MAKE_ROOM, to, c->item);
	}
	return 0;
}

/* Needs: which items lack copies, and in which order. */

/*
 * Spread and demand are of equal urgency and compared by the calls that they
 * are worth. If one always went first, it would take the room that was made for
 * the other, in turns.
 */
static int
urgency(const need_t *n)
{
	return n->reason == REASON_DEMAND ? REASON_SPREAD : (int)n->reason;
}

static int
by_urgency(const void *a, const void *b)
{
	const need_t *x = a, *y = b;

	if (urgency(x) != urgency(y))
		return urgency(x) < urgency(y) ? -1 : 1;
	if (x->no_version_ready != y->no_version_ready)
		return x->no_version_ready ? -1 : 1;
	if (x->unserved != y->unserved)
		return x->unserved > y->unserved ? -1 : 1;
	if (x->memory_mb != y->memory_mb)
		return x->memory_mb > y->memory_mb ? -1 : 1;
	if (x->hash != y->hash)
		return x->hash < y->hash ? -1 : 1;
	return x->item < y->item ? -1 : x->item > y->item;
}

/* Calls without a slot; 0 up to hysteresis percent of those with one. */
static double
unserved_calls(const plan_t *p, int item)
{
	double load = p->fleet.item[item].predicted_calls;
	double missing = p->fleet.item[item].demand - load;

	return missing * 100 > load * (double)p->in->hysteresis ? missing : 0;
}

/* Has a worker with the adapter's base spare slots? */
static bool
base_has_spare_slots(const plan_t *p, int item)
{
	const fleet_t *f = &p->fleet;
	int c, base = p->in->item[item].base;

	for (c = f->item[base].first_copy; c != NONE; c = f->copy[c].item_next)
		if (f->copy[c].counted &&
		    f->worker[f->copy[c].worker].spare_calls > 0)
			return true;
	return false;
}

/* Calls in progress of a burst that exceed the slots of the copies' workers. */
static double
unserved_burst(const plan_t *p, int item)
{
	const fleet_t *f = &p->fleet;
	double slots = 0;
	int c;

	for (c = f->item[item].first_copy; c != NONE; c = f->copy[c].item_next)
		if (f->copy[c].counted)
			slots += p->in->worker[f->copy[c].worker].slots;
	return f->item[item].demand * burst_factor - slots;
}

/* Does the item need a first copy, a repair or a spread? */
static bool
find_need(const plan_t *p, int item, need_t *n)
{
	const place_item_t *it = &p->in->item[item];
	const fleet_item_t *fi = &p->fleet.item[item];
	int have = fi->ready + fi->loading;

	*n = (need_t){ .item = item,
		.no_version_ready = p->fleet.group[fi->group].ready == 0,
		.memory_mb = it->memory_mb,
		.hash = fi->hash };
	if (have == 0)
		n->reason = REASON_FIRST_COPY;
	else if (have < (int)it->copies_min)
		n->reason = REASON_REPAIR;
	else if (fi->ndomains < DOMAINS_WANTED && p->fleet.ndomain > 1) {
		n->reason = REASON_SPREAD;
		n->unserved = second_domain_calls;
	} else
		return false;
	return true;
}

/*
 * Lists the needs of all items, the most urgent first. An adapter's unserved
 * calls count as its base's if no worker with the base has a spare slot.
 */
static int
find_needs(plan_t *p)
{
	double *missing = calloc(p->in->nitem + 1, sizeof(*missing));
	int i, base;

	if (missing == NULL)
		return err_set(p->e, ERR_INTERNAL, "out of memory");
	for (i = 0; i < p->in->nitem; i++) {
		base = p->in->item[i].base;
		missing[i] += unserved_calls(p, i);
		if (base != NONE && missing[i] > 0 &&
		    !base_has_spare_slots(p, i)) {
			missing[base] += missing[i];
			missing[i] = 0;
		}
	}
	for (i = 0; i < p->in->nitem; i++) {
		if (!p->in->item[i].wanted)
			continue;
		if (find_need(p, i, &p->need[p->nneed]))
			p->nneed++;
		if (missing[i] > 0)
			p->need[p->nneed++] = (need_t){ .reason = REASON_DEMAND,
				.item = i,
				.unserved = missing[i],
				.hash = p->fleet.item[i].hash };
		else if (unserved_burst(p, i) > 0)
			p->need[p->nneed++] =
			    (need_t){ .reason = REASON_HEADROOM,
				    .item = i,
				    .unserved = unserved_burst(p, i),
				    .hash = p->fleet.item[i].hash };
	}
	free(missing);
	qsort(p->need, p->nneed, sizeof(*p->need), by_urgency);
	return 0;
}

/* Is no version of an adapter's base ready? */
static bool
awaits_base(const plan_t *p, int item)
{
	const fleet_t *f = &p->fleet;
	int base = p->in->item[item].base;

	return base != NONE && f->group[f->item[base].group].ready == 0;
}

/* For first copies, repair and spread. */
static int
meet_need(plan_t *p, const need_t *n)
{
	bool spread = n->reason == REASON_SPREAD;
	victims_t v;
	int worker;

	if (*load_budget(p, n->item) <= 0)
		return 0;
	worker = find_worker_with_room(p, n->item, spread);
	if (worker != NONE)
		return plan_load(p, n->reason, worker, n->item);
	if (awaits_base(p, n->item))
		return 0;
	if (choose_victims(p, n->reason, n->item, &v)) {
		if (spread && v.loss > second_domain_calls)
			return 0;
		return unload_victims(p, &v, n->item);
	}
	return n->reason == REASON_FIRST_COPY ? relocate_copy(p, n->item) : 0;
}

/* Is a gain, in calls in progress that get a slot, worth that many moves? */
static bool
is_worthwhile(const plan_t *p, double gain, int moves)
{
	return gain * POINTS_PER_CALL >= (double)p->in->move_weight * moves &&
	       gain > 0;
}

static int
meet_demand(plan_t *p, need_t *n)
{
	victims_t v;
	double gain;
	int worker;

	while (n->unserved > 0 && *load_budget(p, n->item) > 0) {
		worker = find_worker_with_room(p, n->item, false);
		if (worker == NONE)
			break;
		gain = p->fleet.worker[worker].spare_calls;
		if (gain > n->unserved)
			gain = n->unserved;
		if (!is_worthwhile(p, gain, 1))
			break;
		if (plan_load(p, REASON_DEMAND, worker, n->item) == -1)
			return -1;
		p->fleet.worker[worker].spare_calls -= gain;
		n->unserved -= gain;
	}
	if (n->unserved <= 0 || *load_budget(p, n->item) <= 0 ||
	    !is_worthwhile(p, n->unserved, 2) ||
	    !choose_victims(p, n->reason, n->item, &v))
		return 0;
	gain = p->fleet.worker[v.worker].spare_calls;
	if (gain > n->unserved)
		gain = n->unserved;
	gain -= v.loss * (1 + (double)p->in->hysteresis / 100);
	if (!is_worthwhile(p, gain, 1 + v.n))
		return 0;
	return unload_victims(p, &v, n->item);
}

/* Fills free memory with copies against a burst. */
static int
meet_headroom(plan_t *p, need_t *n)
{
	double gain;
	int worker;

	while (n->unserved > 0 && *load_budget(p, n->item) > 0) {
		worker = find_worker_with_room(p, n->item, false);
		if (worker == NONE)
			break;
		gain = p->in->worker[worker].slots;
		if (gain > n->unserved)
			gain = n->unserved;
		if (!is_worthwhile(p, gain * burst_weight, 1))
			break;
		if (plan_load(p, REASON_HEADROOM, worker, n->item) == -1)
			return -1;
		n->unserved -= gain;
	}
	return 0;
}

static int
meet(plan_t *p, need_t *n)
{
	switch (n->reason) {
	case REASON_DEMAND:
		return meet_demand(p, n);
	case REASON_HEADROOM:
		return meet_headroom(p, n);
	default:
		return meet_need(p, n);
	}
}

static int
plan_init(plan_t *p)
{
	int i;

	if (fleet_init(&p->fleet, p->in, p->e) == -1)
		return -1;
	p->need = calloc(2 * (size_t)p->in->nitem + 1, sizeof(*p->need));
	p->max_free_mb = calloc(p->fleet.nservice + 1, sizeof(*p->max_free_mb));
	if (p->need == NULL || p->max_free_mb == NULL)
		return err_set(p->e, ERR_INTERNAL, "out of memory");
	for (i = 0; i < p->fleet.nservice; i++)
		p->max_free_mb[i] = INT64_MAX;
	return 0;
}

static int
make_plan(plan_t *p)
{
	int i;

	for (i = 0; i < p->in->nitem; i++)
		if (unload_unneeded(p, i) == -1)
			return -1;
	if (find_needs(p) == -1)
		return -1;
	for (i = 0; i < p->nneed; i++) {
		need_t *n = &p->need[i];

		if (p->in->quiet && n->reason > REASON_REPAIR)
			break;
		if (meet(p, n) == -1)
			return -1;
	}
	return 0;
}

int
place_step(const place_input_t *in, place_output_t *out, err_t *e)
{
	plan_t p = { .in = in,
		.out = out,
		.e = e,
		.model_loads_left = in->model_loads_left,
		.adapter_loads_left = in->adapter_loads_left,
		.scans_left = STEP_SCANS_MAX,
		.relocations_left = RELOCATIONS_MAX };
	int rc;

	out->nmove = 0;
	rc = plan_init(&p);
	if (rc == 0)
		rc = make_plan(&p);
	fleet_free(&p.fleet);
	free(p.need);
	free(p.max_free_mb);
	return rc;
}
