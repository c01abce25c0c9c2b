#include "policy/stream_table.h"

#include <stdlib.h>

enum {
	FIRST_SLOTS = 64,
};

/* The slot of the stream, or the free one where it belongs. */
static stream_record_t *
find_slot(const stream_table_t *t, uint64_t id)
{
	int i = (int)(id & (uint64_t)(t->nslot - 1));

	while (t->slot[i].id != 0 && t->slot[i].id != id)
		i = (i + 1) & (t->nslot - 1);
	return &t->slot[i];
}

/* Copies what hasn't expired into a table of nslot slots. */
static void
rebuild(stream_table_t *t, int nslot, ms_t now)
{
	stream_record_t *old = t->slot;
	int i, nold = t->nslot;

	t->slot = calloc((size_t)nslot, sizeof(*t->slot));
	if (t->slot == NULL)
		abort();
	t->nslot = nslot;
	t->nused = 0;
	for (i = 0; i < nold; i++) {
		if (old[i].id == 0 || old[i].expires_at <= now)
			continue;
		*find_slot(t, old[i].id) = old[i];
		t->nused++;
	}
	free(old);
}

void
stream_table_put(
    stream_table_t *t, uint64_t id, uint64_t software, ms_t expires_at)
{
	stream_record_t *r;

	if (id == 0)
		return;
	/* Half of the slots stay free, so that probes are short. */
	if (2 * t->nused >= t->nslot && t->nslot < 2 * STREAM_TABLE_MAX)
		rebuild(t, t->nslot > 0 ? 2 * t->nslot : FIRST_SLOTS, 0);
	r = find_slot(t, id);
	if (r->id == 0) {
		if (t->nused >= STREAM_TABLE_MAX) {
			t->dropped++;
			return;
		}
		*r = (stream_record_t){ id, software, expires_at };
		t->nused++;
		return;
	}
	if (expires_at > r->expires_at)
		r->expires_at = expires_at;
}

uint64_t
stream_table_get(const stream_table_t *t, uint64_t id, ms_t now)
{
	const stream_record_t *r;

	if (t->nslot == 0 || id == 0)
		return 0;
	r = find_slot(t, id);
	return r->id == id && r->expires_at > now ? r->software : 0;
}

void
stream_table_expire(stream_table_t *t, ms_t now)
{
	int i, live = 0, nslot = FIRST_SLOTS;

	for (i = 0; i < t->nslot; i++)
		live += t->slot[i].id != 0 && t->slot[i].expires_at > now;
	if (live == t->nused)
		return;
	while (nslot < 4 * live)
		nslot *= 2;
	rebuild(t, nslot, now);
}

void
stream_table_free(stream_table_t *t)
{
	free(t->slot);
	*t = (stream_table_t){ 0 };
}
