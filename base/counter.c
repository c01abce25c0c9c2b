#include "base/base.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <ck_pr.h>
#include <glib.h>

enum {
	COUNTERS_MAX = 512
};

struct counter {
	char *name;
	char *help;
	int64_t value;
};

static struct counter counters[COUNTERS_MAX];
static int ncounter;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

counter_t *
counter_get(const char *name, const char *help)
{
	counter_t *c = NULL;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < ncounter; i++)
		if (strcmp(counters[i].name, name) == 0)
			c = &counters[i];
	if (c == NULL) {
		/* When the table is full, further names share the last one. */
		if (ncounter < COUNTERS_MAX)
			ncounter++;
		c = &counters[ncounter - 1];
		if (c->name == NULL) {
			c->name = g_strdup(name);
			c->help = g_strdup(help);
		}
	}
	pthread_mutex_unlock(&lock);
	return c;
}

void
counter_add(counter_t *c, int64_t n)
{
	ck_pr_add_64((uint64_t *)&c->value, n);
}

void
counter_set(counter_t *c, int64_t n)
{
	ck_pr_store_64((uint64_t *)&c->value, n);
}

int64_t
counter_read(const counter_t *c)
{
	return ck_pr_load_64((const uint64_t *)&c->value);
}

char *
counters_text(void)
{
	GString *s = g_string_new(NULL);
	int i, n;

	pthread_mutex_lock(&lock);
	n = ncounter;
	pthread_mutex_unlock(&lock);
	for (i = 0; i < n; i++) {
		int base = strcspn(counters[i].name, "{");

		g_string_append_printf(s, "# HELP %.*s %s\n%s %" PRId64 "\n",
		    base, counters[i].name, counters[i].help, counters[i].name,
		    counter_read(&counters[i]));
	}
	return g_string_free(s, FALSE);
}

/* Each power of two has sixteen linear buckets, so they are 6% wide. */
static int
bucket_index(int64_t v)
{
	int log, b;

	if (v < 16)
		return v < 0 ? 0 : (int)v;
	log = 63 - __builtin_clzll(v);
	b = (log - 3) * 16 + (int)((v >> (log - 4)) & 15);
	return b < HISTO_BUCKETS ? b : HISTO_BUCKETS - 1;
}

static int64_t
bucket_upper_bound(int b)
{
	int log = b / 16 + 3;

	if (b < 16)
		return b;
	return ((int64_t)(16 + b % 16 + 1) << (log - 4)) - 1;
}

void
histo_add(histo_t *h, int64_t v)
{
	h->n++;
	h->bucket[bucket_index(v)]++;
	if (v > h->max)
		h->max = v;
}

void
histo_merge(histo_t *into, const histo_t *from)
{
	int i;

	into->n += from->n;
	for (i = 0; i < HISTO_BUCKETS; i++)
		into->bucket[i] += from->bucket[i];
	if (from->max > into->max)
		into->max = from->max;
}

int64_t
histo_quantile(const histo_t *h, double q)
{
	uint64_t want = (uint64_t)(q * (double)h->n), seen = 0;
	int i;

	if (h->n == 0)
		return 0;
	for (i = 0; i < HISTO_BUCKETS; i++) {
		seen += h->bucket[i];
		if (seen > want || seen == h->n)
			return bucket_upper_bound(i) < h->max
				   ? bucket_upper_bound(i)
				   : h->max;
	}
	return h->max;
}
