#include "policy/worker.h"

#include <stdlib.h>
#include <string.h>

enum {
	SAMPLES_MIN = 4, /* calls before speed is judged */
	SLOW_FACTOR = 3, /* slow: over usual * SLOW_FACTOR + SLOW_MARGIN_MS */
	SLOW_MARGIN_MS = 100,
	FAILURES_MAX = 3, /* in a row */
	EJECT_FIRST_MS = 2000,
	EJECT_MAX_MS = 60000,
	REPORT_STALE_MS = 3000, /* no calls are sent if the last is older */
};

/* Weight of a new sample in a moving average. */
static const double sample_weight = 0.125;

void
worker_clear(worker_t *w)
{
	free(w->holding);
	free(w->prefix);
	memset(w, 0, sizeof(*w));
}

int
worker_in_flight(const worker_t *w)
{
	int n = w->own_grants - w->lost_grants;

	return (n > 0 ? n : 0) + w->other_calls;
}

int
worker_free_slots(const worker_t *w)
{
	int n = w->slots - worker_in_flight(w);

	return w->refused_call || w->leaving || n < 0 ? 0 : n;
}

static int
by_item(const void *a, const void *b)
{
	const holding_t *x = a, *y = b;

	if (x->item != y->item)
		return x->item < y->item ? -1 : 1;
	return x->version < y->version ? -1 : x->version > y->version;
}

const holding_t *
worker_holds(const worker_t *w, uint64_t item)
{
	int low = 0, high = w->nholding;

	while (low < high) {
		int mid = (low + high) / 2;

		if (w->holding[mid].item <= item)
			low = mid + 1;
		else
			high = mid;
	}
	/* The highest version. */
	if (low == 0 || w->holding[low - 1].item != item)
		return NULL;
	return &w->holding[low - 1];
}

bool
worker_set_holding(worker_t *w, const admit_resident_t *r, int n)
{
	holding_t *h = malloc((n + 1) * sizeof(*h));
	int i;

	if (h == NULL)
		return false;
	for (i = 0; i < n; i++)
		h[i] = (holding_t){ hash_str(r[i].item, 0), r[i].version };
	qsort(h, n, sizeof(*h), by_item);
	if (n == w->nholding &&
	    (n == 0 || memcmp(h, w->holding, n * sizeof(*h)) == 0)) {
		free(h);
		return false;
	}
	free(w->holding);
	w->holding = h;
	w->nholding = n;
	return true;
}

/* Grants that ended after the report was taken, and so are counted in it. */
static int
ended_since(const worker_t *w, ms_t taken_at)
{
	unsigned i,
	    n = w->nended < ENDED_GRANTS_KEPT ? w->nended : ENDED_GRANTS_KEPT;
	int count = 0;

	for (i = 0; i < n; i++)
		if (w->ended[i].granted_at <= taken_at &&
		    w->ended[i].ended_at > taken_at)
			count++;
	return count;
}

/* The grants that all of the last reports lack are lost. */
static int
least_missing(const worker_t *w)
{
	int i, least = w->missing_grants[0];

	if (w->reports < LOST_REPORTS)
		return 0;
	for (i = 1; i < LOST_REPORTS; i++)
		if (w->missing_grants[i] < least)
			least = w->missing_grants[i];
	return least;
}

void
worker_report(worker_t *w, const admit_report_t *r, int known, int settled)
{
	int in_flight = (int)r->in_flight;
	int missing = settled > in_flight ? settled - in_flight : 0;

	w->slots = (int)r->slots;
	w->leaving = r->leaving;
	w->reported_at = r->taken_at;
	w->refused_call = false;
	known += ended_since(w, r->taken_at);
	w->other_calls = in_flight > known ? in_flight - known : 0;
	w->missing_grants[w->reports % LOST_REPORTS] = missing;
	w->reports++;
	w->lost_grants = least_missing(w);
}

static void
average_add(double *into, double v)
{
	*into = *into == 0 ? v : *into + sample_weight * (v - *into);
}

void
worker_grant_ended(worker_t *w, call_outcome_t outcome, ms_t granted_at,
    ms_t first, uint32_t tokens, ms_t now)
{
	w->ended[w->nended++ % ENDED_GRANTS_KEPT] =
	    (ended_grant_t){ granted_at, now };
	w->own_grants--;
	if (w->lost_grants > 0)
		w->lost_grants--;
	switch (outcome) {
	case CALL_DONE:
		w->failures = 0;
		average_add(&w->slot_ms, (double)(now - granted_at + 1));
		break;
	case CALL_REFUSED:
		/* Its slots are taken by others, or it is unreachable. */
		w->failures++;
		w->refused_call = w->reports > 0;
		return;
	case CALL_FAILED:
	case CALL_UNKNOWN:
		w->failures++;
		break;
	case CALL_CANCELLED:
		if (tokens > 0)
			average_add(
			    &w->slot_ms, (double)(now - granted_at + 1));
		break;
	}
	if (first < 0)
		return;
	average_add(&w->first_token_ms, (double)(first + 1));
	w->first_token_at = now;
	w->samples++;
}

static bool
is_slow(const worker_t *w, double usual)
{
	return usual > 0 &&
	       w->first_token_ms > usual * SLOW_FACTOR + SLOW_MARGIN_MS;
}

static void
eject(worker_t *w, rng_t *rng, ms_t now)
{
	w->ejection_ms =
	    w->ejection_ms == 0 ? EJECT_FIRST_MS : 2 * w->ejection_ms;
	if (w->ejection_ms > EJECT_MAX_MS)
		w->ejection_ms = EJECT_MAX_MS;
	/* Up to a quarter longer, so that brokers don't probe in step. */
	w->retry_at = now + w->ejection_ms +
		      (ms_t)(rng_unit(rng) * (double)w->ejection_ms / 4);
	w->circuit = CIRCUIT_OPEN;
	w->failures = 0;
	/* The probe is judged by its own first token alone. */
	w->first_token_ms = 0;
	w->samples = 0;
}

void
worker_update_circuit(worker_t *w, double usual, bool probed, bool may_eject,
    rng_t *rng, ms_t now)
{
	switch (w->circuit) {
	case CIRCUIT_CLOSED:
		if (may_eject &&
		    (w->failures >= FAILURES_MAX ||
			(w->samples >= SAMPLES_MIN && is_slow(w, usual))))
			eject(w, rng, now);
		break;
	case CIRCUIT_OPEN:
		break; /* a call granted before the ejection */
	case CIRCUIT_PROBE:
		if (!probed)
			break;
		if (w->failures > 0 || is_slow(w, usual)) {
			eject(w, rng, now);
		} else if (w->samples > 0) {
			w->circuit = CIRCUIT_CLOSED;
			w->ejection_ms = 0;
		}
		break;
	}
}

bool
worker_available(const worker_t *w, ms_t now)
{
	if (w->reports > 0 && now - w->reported_at > REPORT_STALE_MS)
		return false;
	switch (w->circuit) {
	case CIRCUIT_CLOSED:
		return true;
	case CIRCUIT_OPEN:
		return now >= w->retry_at;
	case CIRCUIT_PROBE:
		return w->probe == 0;
	}
	return false;
}

void
worker_add_prefix(worker_t *w, uint64_t prefix)
{
	if (prefix == 0)
		return;
	if (w->prefix == NULL)
		w->prefix = calloc(PREFIX_SLOTS, sizeof(*w->prefix));
	if (w->prefix != NULL)
		w->prefix[prefix % PREFIX_SLOTS] = prefix;
}

bool
worker_has_prefix(const worker_t *w, uint64_t prefix)
{
	return prefix != 0 && w->prefix != NULL &&
	       w->prefix[prefix % PREFIX_SLOTS] == prefix;
}
