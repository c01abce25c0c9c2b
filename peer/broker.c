#include "peer/broker.h"

#include <stdlib.h>
#include <string.h>

enum {
	ASKS_MAX = 65536,
	FIRST_REPORT_MS = 400, /* asks are held so long for first reports */
	STAND_IN_MS = 5000,    /* an unused stand-in shard is given up */
	REFRESH_MS = 1000,     /* an unchanged digest is said again */
	MISSES_MAX = 4,	       /* unanswered polls before it is left out */
	RETRY_MS = 50,	       /* asked elsewhere or again after this */
};

typedef struct demand {
	char model[ID_MAX], adapter[ID_MAX];
	uint32_t asked, refused;
} demand_t;

/* One worker as its reports tell. */
typedef struct reported {
	load_report_t *last; /* that reached it, or NULL */
	int misses;
	bool seen; /* a first poll has ended, whichever way */
	char addr[ADDR_MAX];
} reported_t;

typedef struct broker {
	char key[KEY_MAX];
	char service[ID_MAX], domain[ID_MAX];
	uint32_t index;
	bool owner; /* by the store's shape; else a stand-in */
	bool open;  /* first reports have come: asks are put */
	ms_t since, last_ask;
	admit_t *admit;
	GHashTable *worker; /* id -> reported_t */
	GHashTable *demand; /* "model/adapter" -> demand_t */
	uint64_t term, seq, said; /* of the digest; hash of the last one */
	ms_t said_at;
} broker_t;

typedef struct ask {
	handle_t conn;
	uint64_t call;
	char request[ID_MAX];
	broker_t *broker;
	bool held; /* not yet put: no reports */
	admit_ask_t want;
	char adapter[ID_MAX];
} ask_t;

struct brokers {
	brokers_opts_t o;
	GHashTable *shard; /* key -> broker_t */
	table_t *asks;
	bool leaving;
	bool targets_changed;
	uint64_t seed;
	counter_t *asked, *granted, *refused, *elsewhere;
};

static void
reported_free(void *p)
{
	reported_t *r = p;

	load_report_free(r->last);
	free(r);
}

static void
broker_free(void *p)
{
	broker_t *k = p;

	admit_free(k->admit);
	g_hash_table_destroy(k->worker);
	g_hash_table_destroy(k->demand);
	free(k);
}

brokers_t *
brokers_new(const brokers_opts_t *o)
{
	brokers_t *b = calloc(1, sizeof(*b));

	b->o = *o;
	b->shard = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
	    broker_free);
	b->asks = table_new(sizeof(ask_t), ASKS_MAX);
	b->seed = hash_str(o->self, (uint64_t)clock_wall());
	b->asked = counter_get("broker_asks_total", "asks for a slot");
	b->granted = counter_get("broker_grants_total", "slots granted");
	b->refused = counter_get("broker_refusals_total", "asks refused");
	b->elsewhere = counter_get("broker_sent_on_total",
	    "asks sent on to another broker");
	return b;
}

void
brokers_free(brokers_t *b)
{
	if (b == NULL)
		return;
	g_hash_table_destroy(b->shard);
	table_free(b->asks);
	free(b);
}

static void
refuse(brokers_t *b, handle_t conn, uint64_t call, slot_outcome_t how)
{
	Wire__SlotAnswer a = WIRE__SLOT_ANSWER__INIT;

	a.outcome = how;
	a.retry_after_ms = RETRY_MS;
	counter_add(b->elsewhere, 1);
	b->o.answer(b->o.user, conn, call, &a);
}

static void
count_demand(broker_t *k, const char *model, const char *adapter, bool refused)
{
	char key[KEY_MAX];
	demand_t *d;

	snprintf(key, sizeof(key), "%s/%s", model, adapter);
	d = g_hash_table_lookup(k->demand, key);
	if (d == NULL) {
		d = calloc(1, sizeof(*d));
		str_copy(d->model, sizeof(d->model), model);
		str_copy(d->adapter, sizeof(d->adapter), adapter);
		g_hash_table_insert(k->demand, g_strdup(key), d);
	}
	if (refused)
		d->refused++;
	else
		d->asked++;
}

static const Wire__Resident *
no_residents(void)
{
	return NULL;
}

/* Version of the model that the worker last reported as ready. */
static uint64_t
version_at(const reported_t *r, const char *model)
{
	int i;

	if (r == NULL || r->last == NULL)
		return 0;
	for (i = 0; i < r->last->nresident; i++) {
		const resident_t *x = &r->last->resident[i];

		if (x->state == RESIDENT_READY && x->adapter[0] == '\0' &&
		    strcmp(x->model, model) == 0)
			return x->version;
	}
	return 0;
}
