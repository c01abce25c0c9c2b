#include "policy/fleet.h"

#include <stdlib.h>
#include <string.h>

/* The share of a worker's slots that is planned for. */
static const double planned_share = 0.85;
/* Of free slots elsewhere, others take the rest. */
static const double own_share = 0.5;

/* Names numbered as they come up; too many share the last number. */
typedef struct names {
	const char *name[DOMAINS_KEPT];
	int n;
} names_t;

typedef struct named {
	const place_item_t *item;
	int index;
} named_t;

static int
name_index(names_t *names, const char *s)
{
	int i;

	for (i = 0; i < names->n; i++)
		if (strcmp(names->name[i], s) == 0)
			return i;
	if (names->n == DOMAINS_KEPT)
		return DOMAINS_KEPT - 1;
	names->name[names->n] = s;
	return names->n++;
}

static int
by_name(const void *a, const void *b)
{
	const place_item_t *x = ((const named_t *)a)->item;
	const place_item_t *y = ((const named_t *)b)->item;

	if ((x->base == NONE) != (y->base == NONE))
		return x->base == NONE ? -1 : 1;
	return strcmp(x->name, y->name);
}

static int
find_families(fleet_t *f)
{
	const place_input_t *in = f->in;
	named_t *sorted = calloc(in->nitem + 1, sizeof(*sorted));
	const place_item_t *item;
	family_t *family;
	int i, n = NONE;

	if (sorted == NULL)
		return -1;
	for (i = 0; i < in->nitem; i++)
		sorted[i] = (named_t){ &in->item[i], i };
	qsort(sorted, in->nitem, sizeof(*sorted), by_name);
	for (i = 0; i < in->nitem; i++) {
		if (i == 0 || by_name(&sorted[i - 1], &sorted[i]) != 0)
			f->family[++n].first = NONE;
		family = &f->family[n];
		f->thing[sorted[i].index].family = n;
		f->thing[sorted[i].index].family_next = family->first;
		family->first = sorted[i].index;
		item = sorted[i].item;
		if (!item->wanted)
			continue;
		family->wanted++;
		if ((int)item->copies_min > family->copies_min)
			family->copies_min = (int)item->copies_min;
	}
	free(sorted);
	return 0;
}

static void
find_places(fleet_t *f)
{
	const place_input_t *in = f->in;
	names_t domain = { 0 }, service = { 0 };
	int i;

	for (i = 0; i < in->nworker; i++) {
		const place_worker_t *w = &in->worker[i];
		host_t *h = &f->host[i];

		h->domain = name_index(&domain, w->domain);
		h->service = name_index(&service, w->service);
		h->copies = NONE;
		h->free = w->memory_mb;
		h->spare = w->slots * planned_share;
		h->hash = hash_str(w->id, 0);
	}
	for (i = 0; i < in->nitem; i++) {
		thing_t *t = &f->thing[i];

		t->service = name_index(&service, in->item[i].service);
		t->copies = NONE;
		t->hash = hash_str(in->item[i].name, in->item[i].version);
	}
	for (i = 0; i < in->nitem; i++) {
		f->thing[i].demand += in->item[i].demand;
		if (in->item[i].base != NONE)
			f->thing[in->item[i].base].demand -= in->item[i].demand;
	}
	for (i = 0; i < in->nitem; i++)
		if (f->thing[i].demand < 0)
			f->thing[i].demand = 0;
	f->ndomain = domain.n;
	f->nservice = service.n;
}

static int
link_copy(fleet_t *f, int worker, int item, place_state_t held)
{
	copy_t *c;
	int room;

	if (f->ncopy == f->room) {
		room = f->room == 0 ? 256 : 2 * f->room;
		c = realloc(f->copy, room * sizeof(*c));
		if (c == NULL)
			return -1;
		f->copy = c;
		f->room = room;
	}
	c = &f->copy[f->ncopy];
	*c = (copy_t){ .worker = worker,
		.item = item,
		.held = held,
		.item_next = f->thing[item].copies,
		.worker_next = f->host[worker].copies };
	f->thing[item].copies = f->ncopy;
	f->host[worker].copies = f->ncopy;
	return f->ncopy++;
}

static int
take_copy(fleet_t *f, int worker, int item, place_state_t held)
{
	uint32_t mb = f->in->item[item].memory_mb;

	if (held == PLACE_NONE)
		return 0;
	f->host[worker].free -= mb;
	if (held == PLACE_UNLOADING)
		f->host[worker].going += mb;
	return link_copy(f, worker, item, held) == NONE ? -1 : 0;
}

/* A matrix is mostly empty: skip eight at a time. */
static int
take_row(fleet_t *f, int worker)
{
	const uint8_t *row = f->in->held + (size_t)worker * f->in->nitem;
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
		if (take_copy(f, worker, i, row[i]) == -1)
			return -1;
		i++;
	}
	return 0;
}

static int
take_copies(fleet_t *f)
{
	const place_input_t *in = f->in;
	int i;

	if (in->held != NULL) {
		for (i = 0; i < in->nworker; i++)
			if (take_row(f, i) == -1)
				return -1;
		return 0;
	}
	for (i = 0; i < in->ncopy; i++)
		if (take_copy(f, in->copy[i].worker, in->copy[i].item,
			in->copy[i].held) == -1)
			return -1;
	return 0;
}

int
fleet_copy(const fleet_t *f, int worker, int item)
{
	int c;

	for (c = f->host[worker].copies; c != NONE; c = f->copy[c].worker_next)
		if (f->copy[c].item == item)
			return c;
	return NONE;
}

bool
fleet_has_base(const fleet_t *f, int worker, int item)
{
	int c, family = f->thing[f->in->item[item].base].family;

	for (c = f->host[worker].copies; c != NONE; c = f->copy[c].worker_next)
		if (f->copy[c].held == PLACE_READY &&
		    f->thing[f->copy[c].item].family == family)
			return true;
	return false;
}

/* Count a copy that is ready or coming in (sign 1) or out (-1). */
static void
count(fleet_t *f, const copy_t *c, int sign)
{
	const place_item_t *item = &f->in->item[c->item];
	thing_t *t = &f->thing[c->item];
	family_t *family = &f->family[t->family];
	int d = f->host[c->worker].domain;

	t->domain[d] += sign;
	if (t->domain[d] == (sign > 0))
		t->domains += sign;
	if (c->held == PLACE_LOADING) {
		t->coming += sign;
		return;
	}
	t->ready += sign;
	t->ready_in[d] += sign;
	if (t->ready_in[d] == (sign > 0))
		t->ready_domains += sign;
	family->ready += sign;
	if (item->wanted)
		family->wanted_ready += sign;
}

static void
count_copies(fleet_t *f)
{
	int i;

	for (i = 0; i < f->ncopy; i++) {
		copy_t *c = &f->copy[i];

		if (!f->in->worker[c->worker].usable ||
		    (c->held != PLACE_READY && c->held != PLACE_LOADING))
			continue;
		if (f->in->item[c->item].base != NONE &&
		    !fleet_has_base(f, c->worker, c->item))
			continue;
		c->counts = true;
		count(f, c, 1);
	}
}

/* Spread an item's demand over its copies by what their workers can take. */
static void
predict_item(fleet_t *f, int item)
{
	thing_t *t = &f->thing[item];
	double spare = 0, left = t->demand, part;
	int c;

	for (c = t->copies; c != NONE; c = f->copy[c].item_next)
		if (f->copy[c].counts)
			spare += f->host[f->copy[c].worker].spare;
	if (spare <= 0)
		return;
	if (left > spare)
		left = spare;
	for (c = t->copies; c != NONE; c = f->copy[c].item_next) {
		host_t *h = &f->host[f->copy[c].worker];

		if (!f->copy[c].counts)
			continue;
		part = left * h->spare / spare;
		f->copy[c].load = part;
		t->load += part;
	}
	for (c = t->copies; c != NONE; c = f->copy[c].item_next)
		f->host[f->copy[c].worker].spare -= f->copy[c].load;
}

/* Items with few copies first: they have the least choice. */
static int
predict(fleet_t *f)
{
	int i, n, most = 0, *start;

	for (i = 0; i < f->in->nitem; i++) {
		n = f->thing[i].ready + f->thing[i].coming;
		if (n > most)
			most = n;
	}
	start = calloc(most + 2, sizeof(*start));
	if (start == NULL)
		return -1;
	for (i = 0; i < f->in->nitem; i++)
		start[f->thing[i].ready + f->thing[i].coming + 1]++;
	for (i = 0; i <= most; i++)
		start[i + 1] += start[i];
	for (i = 0; i < f->in->nitem; i++)
		f->order[start[f->thing[i].ready + f->thing[i].coming]++] = i;
	for (i = 0; i < f->in->nitem; i++)
		predict_item(f, f->order[i]);
	free(start);
	return 0;
}

int
fleet_init(fleet_t *f, const place_input_t *in, err_t *e)
{
	memset(f, 0, sizeof(*f));
	f->in = in;
	f->host = calloc(in->nworker + 1, sizeof(*f->host));
	f->thing = calloc(in->nitem + 1, sizeof(*f->thing));
	f->family = calloc(in->nitem + 1, sizeof(*f->family));
	f->order = calloc(in->nitem + 1, sizeof(*f->order));
	if (f->host == NULL || f->thing == NULL || f->family == NULL ||
	    f->order == NULL || find_families(f) == -1)
		goto fail;
	find_places(f);
	if (take_copies(f) == -1)
		goto fail;
	count_copies(f);
	if (predict(f) == -1)
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
	free(f->host);
	free(f->thing);
	free(f->family);
	free(f->order);
}

int
fleet_load(fleet_t *f, int worker, int item, err_t *e)
{
	int c = link_copy(f, worker, item, PLACE_LOADING);

	if (c == NONE)
		return err_set(e, ERR_INTERNAL, "out of memory");
	f->host[worker].free -= f->in->item[item].memory_mb;
	f->copy[c].counts = true;
	count(f, &f->copy[c], 1);
	return 0;
}

void
fleet_unload(fleet_t *f, int copy)
{
	copy_t *c = &f->copy[copy];
	host_t *h = &f->host[c->worker];

	if (c->counts)
		count(f, c, -1);
	c->counts = false;
	c->held = PLACE_UNLOADING;
	h->going += f->in->item[c->item].memory_mb;
	h->spare += c->load;
	f->thing[c->item].load -= c->load;
	c->load = 0;
}

/* Without its adapters. */
static bool
may_go_alone(const fleet_t *f, const copy_t *c, bool spread)
{
	const place_item_t *item = &f->in->item[c->item];
	const thing_t *t = &f->thing[c->item];
	const family_t *family = &f->family[t->family];
	int least = (int)item->copies_min > 1 ? (int)item->copies_min : 1;
	int d = f->host[c->worker].domain;

	if (c->held != PLACE_READY || !f->in->worker[c->worker].usable)
		return false;
	if (!c->counts)
		return true; /* of no use to anyone */
	if (!item->wanted)
		return family->wanted == 0 || family->wanted_ready > 0 ||
		       family->ready > 1;
	if (t->ready <= least)
		return false;
	return spread || t->ready_domains != 2 || t->ready_in[d] > 1;
}

bool
fleet_base_stays(const fleet_t *f, int copy)
{
	const copy_t *c, *base = &f->copy[copy];
	int i;

	for (i = f->host[base->worker].copies; i != NONE; i = c->worker_next) {
		c = &f->copy[i];
		if (c != base && c->held == PLACE_READY &&
		    f->thing[c->item].family == f->thing[base->item].family)
			return true;
	}
	return false;
}

bool
fleet_on_base(const fleet_t *f, const copy_t *adapter, const copy_t *base)
{
	int b = f->in->item[adapter->item].base;

	return b != NONE && f->thing[b].family == f->thing[base->item].family;
}

bool
fleet_may_go(const fleet_t *f, int copy, bool spread)
{
	const copy_t *c = &f->copy[copy], *other;
	int i;

	if (!may_go_alone(f, c, spread))
		return false;
	if (f->in->item[c->item].base != NONE || fleet_base_stays(f, copy))
		return true;
	for (i = f->host[c->worker].copies; i != NONE; i = other->worker_next) {
		other = &f->copy[i];
		if (other->held != PLACE_NONE &&
		    other->held != PLACE_UNLOADING &&
		    fleet_on_base(f, other, c) &&
		    !may_go_alone(f, other, spread))
			return false;
	}
	return true;
}

double
fleet_loss(const fleet_t *f, int copy, double margin)
{
	const copy_t *c = &f->copy[copy], *other;
	double elsewhere = 0;
	int i;

	if (!f->in->item[c->item].wanted)
		return 0;
	for (i = f->thing[c->item].copies; i != NONE; i = other->item_next) {
		other = &f->copy[i];
		if (other != c && other->counts)
			elsewhere += f->host[other->worker].spare;
	}
	elsewhere *= own_share;
	return c->load * margin > elsewhere ? c->load * margin - elsewhere : 0;
}
