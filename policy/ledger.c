#include "policy/policy.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

enum {
	RESERVATIONS_INITIAL = 16 /* doubled up to RESERVATIONS_MAX */
};

/* The names in the stored ledger, in the order of reservation_state_t. */
static const char *const state_names[] = { "maybe", "resident", "leaving" };

ledger_t *
ledger_new(const char *worker, bool fencing)
{
	ledger_t *l = calloc(1, sizeof(*l));

	if (l == NULL)
		return NULL;
	str_set(l->worker, sizeof(l->worker), worker);
	l->fencing = fencing;
	return l;
}

void
ledger_free(ledger_t *l)
{
	if (l == NULL)
		return;
	free(l->reservation);
	free(l);
}

/* Makes room for one more. @return false: RESERVATIONS_MAX, out of memory */
static bool
ensure_capacity(ledger_t *l)
{
	int capacity =
	    l->capacity == 0 ? RESERVATIONS_INITIAL : 2 * l->capacity;
	reservation_t *grown;

	if (l->nreservation < l->capacity)
		return true;
	if (capacity > RESERVATIONS_MAX ||
	    (grown = realloc(l->reservation, capacity * sizeof(*grown))) ==
		NULL)
		return false;
	l->reservation = grown;
	l->capacity = capacity;
	return true;
}

static json_t *
reservation_encode(const reservation_t *res)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:s,s:I,s:I,s:s}", "model",
	    res->model, "adapter", res->adapter, "version",
	    (json_int_t)res->version, "memory_mb", (json_int_t)res->memory_mb,
	    "state", state_names[res->state], "order", (json_int_t)res->order,
	    "fence", (json_int_t)res->fencing_token, "sender", res->sender);
}

char *
ledger_encode(const ledger_t *l)
{
	json_t *reservations = json_array(), *j;
	char *text;
	int i;

	for (i = 0; i < l->nreservation; i++)
		json_array_append_new(
		    reservations, reservation_encode(&l->reservation[i]));
	j = json_pack("{s:s,s:s,s:I,s:b,s:I,s:I,s:o}", "worker", l->worker,
	    "incarnation", l->incarnation, "memory_mb",
	    (json_int_t)l->memory_mb, "fencing", l->fencing, "fence",
	    (json_int_t)l->max_fencing_token, "last_order",
	    (json_int_t)l->last_order, "hold", reservations);
	text = json_dumps(j, JSON_COMPACT);
	json_decref(j);
	return text;
}

static int
reservation_decode(json_t *j, reservation_t *res)
{
	const char *model, *adapter, *state, *sender;
	json_int_t version, memory, order, fencing_token;
	int i;

	if (json_unpack(j, "{s:s,s:s,s:I,s:I,s:s,s:I,s:I,s:s}", "model", &model,
		"adapter", &adapter, "version", &version, "memory_mb", &memory,
		"state", &state, "order", &order, "fence", &fencing_token,
		"sender", &sender) == -1)
		return -1;
	for (i = 0; i < 3; i++)
		if (strcmp(state, state_names[i]) == 0)
			break;
	if (i == 3 || memory < 0 || memory > UINT32_MAX)
		return -1;
	res->state = (reservation_state_t)i;
	res->version = (uint64_t)version;
	res->memory_mb = (uint32_t)memory;
	res->order = (uint64_t)order;
	res->fencing_token = (uint64_t)fencing_token;
	str_set(res->model, sizeof(res->model), model);
	str_set(res->adapter, sizeof(res->adapter), adapter);
	str_set(res->sender, sizeof(res->sender), sender);
	return 0;
}

static int
ledger_fill(ledger_t *l, json_t *j)
{
	const char *worker, *incarnation;
	json_int_t memory, fencing_token, last;
	json_t *reservations;
	size_t i;
	int fencing;

	if (json_unpack(j, "{s:s,s:s,s:I,s:b,s:I,s:I,s:o}", "worker", &worker,
		"incarnation", &incarnation, "memory_mb", &memory, "fencing",
		&fencing, "fence", &fencing_token, "last_order", &last, "hold",
		&reservations) == -1 ||
	    !json_is_array(reservations) ||
	    json_array_size(reservations) > RESERVATIONS_MAX || memory < 0 ||
	    memory > UINT32_MAX)
		return -1;
	str_set(l->worker, sizeof(l->worker), worker);
	str_set(l->incarnation, sizeof(l->incarnation), incarnation);
	l->memory_mb = (uint32_t)memory;
	l->fencing = fencing;
	l->max_fencing_token = (uint64_t)fencing_token;
	l->last_order = (uint64_t)last;
	for (i = 0; i < json_array_size(reservations); i++)
		if (!ensure_capacity(l) ||
		    reservation_decode(json_array_get(reservations, i),
			&l->reservation[l->nreservation++]) == -1)
			return -1;
	return 0;
}

ledger_t *
ledger_decode(const char *json, size_t len, err_t *e)
{
	json_error_t je;
	json_t *j = json_loadb(json, len, 0, &je);
	ledger_t *l = ledger_new("", false);

	if (l == NULL) {
		json_decref(j);
		err_set(e, ERR_INTERNAL, "out of memory");
		return NULL;
	}
	if (j == NULL || ledger_fill(l, j) == -1) {
		err_set(e, ERR_PROTO, "not a ledger: %s",
		    j == NULL ? je.text : "a field is missing or invalid");
		ledger_free(l);
		l = NULL;
	}
	json_decref(j);
	return l;
}

uint64_t
ledger_reserved_mb(const ledger_t *l)
{
	uint64_t mb = 0;
	int i;

	for (i = 0; i < l->nreservation; i++)
		mb += l->reservation[i].memory_mb;
	return mb;
}

uint64_t
ledger_unsettled_mb(const ledger_t *l)
{
	uint64_t mb = 0;
	int i;

	for (i = 0; i < l->nreservation; i++)
		if (l->reservation[i].state == RESERVATION_UNSETTLED)
			mb += l->reservation[i].memory_mb;
	return mb;
}

reservation_t *
ledger_find(const ledger_t *l, const ledger_item_t *it)
{
	int i;

	for (i = 0; i < l->nreservation; i++)
		if (l->reservation[i].version == it->version &&
		    strcmp(l->reservation[i].model, it->model) == 0 &&
		    strcmp(l->reservation[i].adapter, it->adapter) == 0)
			return &l->reservation[i];
	return NULL;
}

/* The caller has called ensure_capacity(). */
static reservation_t *
add_reservation(ledger_t *l, const ledger_item_t *it, reservation_state_t state)
{
	reservation_t *res = &l->reservation[l->nreservation++];

	memset(res, 0, sizeof(*res));
	str_set(res->model, sizeof(res->model), it->model);
	str_set(res->adapter, sizeof(res->adapter), it->adapter);
	res->version = it->version;
	res->memory_mb = it->memory_mb;
	res->state = state;
	return res;
}

static void
remove_reservation(ledger_t *l, reservation_t *res)
{
	*res = l->reservation[--l->nreservation];
}

static uint64_t
assign_order_number(ledger_t *l, reservation_t *res, const ledger_sender_t *by)
{
	res->order = ++l->last_order;
	res->fencing_token = by->fencing_token;
	str_set(res->sender, sizeof(res->sender), by->id);
	if (by->fencing_token > l->max_fencing_token)
		l->max_fencing_token = by->fencing_token;
	return res->order;
}

uint64_t
ledger_order_load(
    ledger_t *l, const ledger_item_t *it, const ledger_sender_t *by, err_t *e)
{
	if (ledger_find(l, it) != NULL) {
		err_set(e, ERR_CONFLICT,
		    "%s%s%s already has a reservation on %s", it->model,
		    *it->adapter == '\0' ? "" : "/", it->adapter, l->worker);
		return 0;
	}
	if (!ensure_capacity(l) ||
	    ledger_reserved_mb(l) + it->memory_mb > l->memory_mb) {
		err_set(e, ERR_FULL, "no room on %s", l->worker);
		return 0;
	}
	return assign_order_number(
	    l, add_reservation(l, it, RESERVATION_UNSETTLED), by);
}

uint64_t
ledger_order_unload(
    ledger_t *l, const ledger_item_t *it, const ledger_sender_t *by, err_t *e)
{
	reservation_t *res = ledger_find(l, it);

	if (res == NULL) {
		err_set(e, ERR_NOT_FOUND, "no reservation on %s", l->worker);
		return 0;
	}
	/* Without fencing the load may take effect after the unload. */
	if (res->state == RESERVATION_UNSETTLED && !l->fencing) {
		err_set(e, ERR_CONFLICT, "order %" PRIu64 " isn't settled",
		    res->order);
		return 0;
	}
	res->state = RESERVATION_UNLOADING;
	return assign_order_number(l, res, by);
}

bool
ledger_record_answer(ledger_t *l, uint64_t number, send_outcome_t outcome)
{
	reservation_t *res;
	int i;

	/* Only a report proves an unload; its answer changes nothing here. */
	for (i = 0; i < l->nreservation; i++) {
		res = &l->reservation[i];
		if (res->order != number || res->state != RESERVATION_UNSETTLED)
			continue;
		switch (outcome) {
		case SEND_ACCEPTED:
			res->state = RESERVATION_RESIDENT;
			return true;
		case SEND_NOT_RUN:
			remove_reservation(l, res);
			return true;
		case SEND_NO_ANSWER:
			return false;
		}
	}
	return false;
}

static const ledger_item_t *
find_reported(const ledger_report_t *r, const reservation_t *res)
{
	int i;

	for (i = 0; i < r->nitem; i++)
		if (r->item[i].version == res->version &&
		    strcmp(r->item[i].model, res->model) == 0 &&
		    strcmp(r->item[i].adapter, res->adapter) == 0)
			return &r->item[i];
	return NULL;
}

/*
 * Applies a report to one reservation. An item with a reservation is never
 * loaded again, so if it is reported after its load was numbered, that load has
 * taken effect.
 * @param gone set to true if the reservation is to be removed
 * @return true if the reservation changed
 */
static bool
settle(
    const ledger_t *l, const ledger_report_t *r, reservation_t *res, bool *gone)
{
	const ledger_item_t *seen = find_reported(r, res);
	bool newer = r->last_order >= res->order;

	*gone = false;
	if (seen != NULL && seen->memory_mb > res->memory_mb) {
		res->memory_mb = seen->memory_mb;
		return true;
	}
	if (!newer)
		return false;
	switch (res->state) {
	case RESERVATION_UNSETTLED:
		if (seen != NULL) {
			res->state = RESERVATION_RESIDENT;
			return true;
		}
		/*
		 * The load took effect and the item is gone again, or a higher
		 * fencing token keeps the load from taking effect.
		 */
		*gone = r->last_order == res->order || l->fencing;
		break;
	case RESERVATION_RESIDENT:
		/*
		 * If it isn't reported, it may be gone, or the report was made
		 * before the load took effect. Only a report newer than an
		 * unload order tells which.
		 */
		break;
	case RESERVATION_UNLOADING:
		*gone = seen == NULL;
		break;
	}
	return *gone;
}

static bool
replace_incarnation(ledger_t *l, const ledger_report_t *r)
{
	if (strcmp(l->incarnation, r->incarnation) == 0)
		return false;
	str_set(l->incarnation, sizeof(l->incarnation), r->incarnation);
	l->nreservation = 0;
	return true;
}

/* Adds items that the engine holds without an order of this ledger. */
static bool
adopt_unknown(ledger_t *l, const ledger_report_t *r)
{
	bool changed = false;
	reservation_t *res;
	int i;

	for (i = 0; i < r->nitem && ensure_capacity(l); i++) {
		if (ledger_find(l, &r->item[i]) != NULL)
			continue;
		res = add_reservation(l, &r->item[i], RESERVATION_RESIDENT);
		res->order = r->last_order;
		changed = true;
	}
	return changed;
}

bool
ledger_apply_report(ledger_t *l, const ledger_report_t *r)
{
	bool changed = replace_incarnation(l, r), gone;
	int i;

	if (l->memory_mb != r->memory_mb) {
		l->memory_mb = r->memory_mb;
		changed = true;
	}
	if (l->last_order < r->last_order) {
		l->last_order = r->last_order;
		changed = true;
	}
	for (i = l->nreservation - 1; i >= 0; i--) {
		if (settle(l, r, &l->reservation[i], &gone))
			changed = true;
		if (gone)
			remove_reservation(l, &l->reservation[i]);
	}
	return adopt_unknown(l, r) || changed;
}
