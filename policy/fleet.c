#include "policy/fleet.h"

#include <stdlib.h>
#include <string.h>

/* Share of a worker's slots that demand is planned for. */
static const double planned_slot_share = 0.85;
/*
 * Share of the free slots at an item's other copies that it can count on; the
 * other items on those workers take the rest.
 */
static const double usable_spare_share = 0.5;

/* Names numbered by first use. When full, further names share the last. */
typedef struct name_table {
	const char *name[DOMAINS_DISTINCT];
	int n;
} name_table_t;

typedef struct sorted_item {
	const place_item_t *item;
	int index;
} sorted_item_t;

static int
name_index(name_table_t *names, const char *s)
{
	int i;

	for (i = 0; i < names->n; i++)
		if (strcmp(names->name[i], s) == 0)
			return i;
	if (names->n == DOMAINS_DISTINCT)
		return DOMAINS_DISTINCT - 1;
	names->name[names->n] = s;
	return names->n++;
}

static int
by_kind_and_name(const void *a, const void *b)
{
	const place_item_t *x = ((const sorted_item_t *)a)->item;
	const place_item_t *y = ((const sorted_item_t *)b)->item;

	if ((x->base == NONE) != (y->base == NONE))
		return x->base == NONE ? -1 : 1;
	return strcmp(x->name, y->name);
}

static int
group_versions(fleet_t *f)
{
	const place_input_t *in = f->in;
	sorted_item_t *sorted = calloc(in->nitem + 1, sizeof(*sorted));
	const place_item_t *item;
	version_group_t *group;
	int i, n = NONE;

	if (sorted == NULL)
		return -1;
	for (i = 0; i < in->nitem; i++)
		sorted[i] = (sorted_item_t){ &in->item[i], i };
	qsort(sorted, in->nitem, sizeof(*sorted), by_kind_and_name);
	for (i = 0; i < in->nitem; i++) {
		if (i == 0 || by_kind_and_name(&sorted[i - 1], &sorted[i]) != 0)
			f->group[++n].first_item = NONE;
		group = &f->group[n];
		f->item[sorted[i].index].group = n;
		f->item[sorted[i].index].next_version = group->first_item;
		group->first_item = sorted[i].index;
		item = sorted[i].item;
		if (!item->wanted)
			continue;
		group->nwanted++;
		if ((int)item->copies_min > group->copies_min)
			group->copies_min = (int)item->copies_min;
	}
	free(sorted);
	return 0;
}

static void
init_workers_and_items(fleet_t *f)
{
	const place_input_t *in = f->in;
	name_table_t domain = { 0 }, service = { 0 };
	int i;

	for (i = 0; i < in->nworker; i++) {
		const place_worker_t *w = &in->worker[i];
		fleet_worker_t *fw = &f->worker[i];

		fw->domain = name_index(&domain, w->domain);
		fw->service = name_index(&service, w->service);
		fw->first_copy = NONE;
		fw->free_mb = w->memory_mb;
		fw->spare_calls = w->slots * planned_slot_share;
		fw->hash = hash_str(w->id, 0);
	}
	for (i = 0; i < in->nitem; i++) {
		fleet_item_t *fi = &f->item[i];

		fi->service = name_index(&service, in->item[i].service);
		fi->first_copy = NONE;
		fi->hash = hash_str(in->item[i].name, in->item[i].version);
	}
	for (i = 0; i < in->nitem; i++) {
		f->item[i].demand += in->item[i].demand;
		if (in->item[i].base != NONE)
			f->item[in->item[i].base].demand -= in->item[i].demand;
	}
	for (i = 0; i < in->nitem; i++)
		if (f->item[i].demand < 0)
			f->item[i].demand = 0;
	f->ndomain = domain.n;
	f->nservice = service.n;
}

static int
add_copy(fleet_t *f, int worker, int item, place_state_t state)
{
	fleet_copy_t *c;
	int capacity;

	if (f->ncopy == f->copy_capacity) {
		capacity = f->copy_capacity == 0 ? 256 : 2 * f->copy_capacity;
		c = realloc(f->copy, capacity * sizeof(*c));
		if (c == NULL)
			return -1;
		f->copy = c;
		f->copy_capacity = capacity;
	}
	c = &f->copy[f->ncopy];
	*c = (fleet_copy_t){ .worker = worker,
		.item = item,
		.state = state,
		.item_next = f->item[item].first_copy,
		.worker_next = f->worker[worker].first_copy };
	f->item[item].first_copy = f->ncopy;
	f->worker[worker].first_copy = f->ncopy;
	return f->ncopy++;
}

static int
add_present_copy(fleet_t *f, int worker, int item, place_state_t state)
{
	uint32_t mb = f->in->item[item].memory_mb;

	if (state == PLACE_NONE)
		return 0;
	f->worker[worker].free_mb -= mb;
	if (state == PLACE_UNLOADING)
		f->worker[worker].unloading_mb += mb;
	return add_copy(f, worker, item, state) == NONE ? -1 : 0;
}

/* The matrix is mostly PLACE_NONE (0): skips eight entries at a time. */
static int
add_worker_row(fleet_t *f, int worker)
{
	const uint8_t *row = f->in->state + (size_t)worker * f->in->nitem;
	int i = 0, n = f->in->nitem;
	uint64_t eight;

	while (i < n) {
		if (i + 8 <= n) {
			memcpy(&eight, row + i, 8);
			if (eight == 0) {
				i += 8;
				continue;
			}
		}
		if (add_present_copy(f, worker, i, row[i]) == -1)
			return -1;
		i++;
	}
	return 0;
}

static int
add_present_copies(fleet_t *f)
{
	const place_input_t *in = f->in;
	int i;

	if (in->state != NULL) {
		for (i = 0; i < in->nworker; i++)
			if (add_worker_row(f, i) == -1)
				return -1;
		return 0;
	}
	for (i = 0; i < in->ncopy; i++)
		if (add_present_copy(f, in->copy[i].worker, in->copy[i].item,
			in->copy[i].state) == -1)
			return -1;
	return 0;
}

int
fleet_find_copy(const fleet_t *f, int worker, int item)
{
	int c;

	for (c = f->worker[worker].first_copy; c != NONE;
	     c = f->copy[c].worker_next)
		if (f->copy[c].item == item)
			return c;
	return NONE;
}

bool
fleet_has_base(const fleet_t *f, int worker, int item)
{
	int c, group = f->item[f->in->item[item].base].group;

	for (c = f->worker[worker].first_copy; c != NONE;
	     c = f->copy[c].worker_next)
		if (f->copy[c].state == PLACE_READY &&
		    f->item[f->copy[c].item].group == group)
			return true;
	return false;
}

/* Adds a ready or loading copy to the counts (sign 1) or removes it (-1). */
static void
count_copy(fleet_t *f, const fleet_copy_t *c, int sign)
{
	const place_item_t *item = &f->in->item[c->item];
	fleet_item_t *fi = &f->item[c->item];
	version_group_t *group = &f->group[fi->group];
	int d = f->worker[c->worker].domain;

	fi->domain_copies[d] += sign;
	if (fi->domain_copies[d] == (sign > 0))
		fi->ndomains += sign;
	if (c->state == PLACE_LOADING) {
		fi->loading += sign;
		return;
	}
	fi->ready += sign;
	fi->domain_ready[d] += sign;
	if (fi->domain_ready[d] == (sign > 0))
		fi->ready_domains += sign;
	group->ready += sign;
	if (item->wanted)
		group->wanted_ready += sign;
}

static void
count_copies(fleet_t *f)
{
	int i;

	for (i = 0; i < f->ncopy; i++) {
		fleet_copy_t *c = &f->copy[i];

		if (!f->in->worker[c->worker].usable ||
		    (c->state != PLACE_READY && c->state != PLACE_LOADING))
			continue;
		if (f->in->item[c->item].base != NONE &&
		    !fleet_has_base(f, c->worker, c->item))
			continue;
		c->counted = true;
		count_copy(f, c, 1);
	}
}

/* Divides an item's demand among its copies by their workers' spare slots. */
static void
predict_item_calls(fleet_t *f, int item)
{
	fleet_item_t *fi = &f->item[item];
	double spare = 0, calls = fi->demand, share;
	int c;

	for (c = fi->first_copy; c != NONE; c = f->copy[c].item_next)
		if (f->copy[c].counted)
			spare += f->worker[f->copy[c].worker].spare_calls;
	if (spare <= 0)
		return;
	if (calls > spare)
		calls = spare;
	for (c = fi->first_copy; c != NONE; c = f->copy[c].item_next) {
		fleet_worker_t *fw = &f->worker[f->copy[c].worker];

		if (!f->copy[c].counted)
			continue;
		share = calls * fw->spare_calls / spare;
		f->copy[c].predicted_calls = share;
		fi->predicted_calls += share;
	}
	for (c = fi->first_copy; c != NONE; c = f->copy[c].item_next)
		f->worker[f->copy[c].worker].spare_calls -=
		    f->copy[c].predicted_calls;
}

/*
 * Predicts the calls of all copies, the items with the fewest copies first:
 * they have the fewest workers to choose from.
 */
static int
predict_calls(fleet_t *f)
{
	int i, n, most = 0, *start;

	for (i = 0; i < f->in->nitem; i++) {
		n = f->item[i].ready + f->item[i].loading;
		if (n > most)
			most = n;
	}
	start = calloc(most + 2, sizeof(*start));
	if (start == NULL)
		return -1;
	for (i = 0; i < f->in->nitem; i++)
		start[f->item[i].ready + f->item[i].loading + 1]++;
	for (i = 0; i <= most; i++)
		start[i + 1] += start[i];
	for (i = 0; i < f->in->nitem; i++)
		f->item_order[start[f->item[i].ready + f->item[i].loading]++] =
		    i;
	for (i = 0; i < f->in->nitem; i++)
		predict_item_calls(f, f->item_order[i]);
	free(start);
	return 0;
}

int
fleet_init(fleet_t *f, const place_input_t *in, err_t *e)
{
	memset(f, 0, sizeof(*f));
	f->in = in;
	f->worker = calloc(in->nworker + 1, sizeof(*f->worker));
	f->item = calloc(in->nitem + 1, sizeof(*f->item));
	f->group = calloc(in->nitem + 1, sizeof(*f->group));
	f->item_order = calloc(in->nitem + 1, sizeof(*f->item_order));
	if (f->worker == NULL || f->item == NULL || f->group == NULL ||
	    f->item_order == NULL || group_versions(f) == -1)
		goto fail;
	init_workers_and_items(f);
	if (add_present_copies(f) == -1)
		goto fail;
	count_copies(f);
	if (predict_calls(f) == -1)
		goto fail;
	return 0;
fail:
	fleet_free(f);
	return err_set(e, ERR_INTERNAL, "out of memory");
}

void
fleet_free(fleet_t *f)
{
	free(f->copy);
	free(f->worker);
	free(f->item);
	free(f->group);
	free(f->item_order);
}

int
fleet_plan_load(fleet_t *f, int worker, int item, err_t *e)
{
	int c = add_copy(f, worker, item, PLACE_LOADING);

	if (c == NONE)
		return err_set(e, ERR_INTERNAL, "out of memory");
	f->worker[worker].free_mb -= f->in->item[item].memory_mb;
	f->copy[c].counted = true;
	count_copy(f, &f->copy[c], 1);
	return 0;
}

void
fleet_plan_unload(fleet_t *f, int copy)
{
	fleet_copy_t *c = &f->copy[copy];
	fleet_worker_t *fw = &f->worker[c->worker];

	if (c->counted)
		count_copy(f, c, -1);
	c->counted = false;
	c->state = PLACE_UNLOADING;
	fw->unloading_mb += f->in->item[c->item].memory_mb;
	fw->spare_calls += c->predicted_calls;
	f->item[c->item].predicted_calls -= c->predicted_calls;
	c->predicted_calls = 0;
}

/* fleet_may_unload() without regard to adapters on the copy. */
static bool
may_unload_alone(const fleet_t *f, const fleet_copy_t *c, bool allow_one_domain)
{
	const place_item_t *item = &f->in->item[c->item];
	const fleet_item_t *fi = &f->item[c->item];
	const version_group_t *group = &f->group[fi->group];
	int min_copies = (int)item->copies_min > 1 ? (int)item->copies_min : 1;
	int d = f->worker[c->worker].domain;

	if (c->state != PLACE_READY || !f->in->worker[c->worker].usable)
		return false;
	if (!c->counted)
		return true; /* an adapter without its base serves no call */
	if (!item->wanted)
		return group->nwanted == 0 || group->wanted_ready > 0 ||
		       group->ready > 1;
	if (fi->ready <= min_copies)
		return false;
	return allow_one_domain || fi->ready_domains != 2 ||
	       fi->domain_ready[d] > 1;
}

bool
fleet_has_other_version(const fleet_t *f, int copy)
{
	const fleet_copy_t *c, *base = &f->copy[copy];
	int i;

	for (i = f->worker[base->worker].first_copy; i != NONE;
	     i = c->worker_next) {
		c = &f->copy[i];
		if (c != base && c->state == PLACE_READY &&
		    f->item[c->item].group == f->item[base->item].group)
			return true;
	}
	return false;
}

bool
fleet_is_adapter_of(
    const fleet_t *f, const fleet_copy_t *adapter, const fleet_copy_t *base)
{
	int b = f->in->item[adapter->item].base;

	return b != NONE && f->item[b].group == f->item[base->item].group;
}

bool
fleet_may_unload(const fleet_t *f, int copy, bool allow_one_domain)
{
	const fleet_copy_t *c = &f->copy[copy], *other;
	int i;

	if (!may_unload_alone(f, c, allow_one_domain))
		return false;
	if (f->in->item[c->item].base != NONE ||
	    fleet_has_other_version(f, copy))
		return true;
	for (i = f->worker[c->worker].first_copy; i != NONE;
	     i = other->worker_next) {
		other = &f->copy[i];
		if (other->state != PLACE_NONE &&
		    other->state != PLACE_UNLOADING &&
		    fleet_is_adapter_of(f, other, c) &&
		    !may_unload_alone(f, other, allow_one_domain))
			return false;
	}
	return true;
}

double
fleet_unserved_without(const fleet_t *f, int copy, double margin)
{
	const fleet_copy_t *c = &f->copy[copy], *other;
	double elsewhere = 0;
	int i;

	if (!f->in->item[c->item].wanted)
		return 0;
	for (i = f->item[c->item].first_copy; i != NONE; i = other->item_next) {
		other = &f->copy[i];
		if (other != c && other->counted)
			elsewhere += f->worker[other->worker].spare_calls;
	}
	elsewhere *= usable_spare_share;
	return c->predicted_calls * margin > elsewhere
		   ? c->predicted_calls * margin - elsewhere
		   : 0;
}
