#include "base/base.h"

#include <stdlib.h>
#include <string.h>

enum {
	NO_SLOT = UINT32_MAX
};

/* A slot's generation counts up at each add and delete: odd while in use. */
typedef struct slot {
	uint32_t gen;
	uint32_t next_free;
} slot_t;

struct table {
	size_t size;
	uint32_t limit, capacity, used, count, free;
	slot_t *slot;
	char *item;
};

table_t *
table_new(size_t item_size, uint32_t limit)
{
	table_t *t = calloc(1, sizeof(*t));

	if (t == NULL)
		return NULL;
	t->size = item_size;
	t->limit = limit;
	t->free = NO_SLOT;
	return t;
}

void
table_free(table_t *t)
{
	if (t == NULL)
		return;
	free(t->slot);
	free(t->item);
	free(t);
}

static bool
grow(table_t *t)
{
	uint32_t room = t->capacity == 0 ? 16 : t->capacity * 2;
	slot_t *slot;
	char *item;

	if (room > t->limit)
		room = t->limit;
	if (room <= t->used)
		return false;
	slot = realloc(t->slot, room * sizeof(*slot));
	if (slot == NULL)
		return false;
	t->slot = slot;
	item = realloc(t->item, room * t->size);
	if (item == NULL)
		return false;
	t->item = item;
	memset(t->slot + t->capacity, 0, (room - t->capacity) * sizeof(*slot));
	t->capacity = room;
	return true;
}

handle_t
table_add(table_t *t)
{
	uint32_t i = t->free;

	if (i != NO_SLOT) {
		t->free = t->slot[i].next_free;
	} else {
		if (t->used == t->capacity && !grow(t))
			return 0;
		i = t->used++;
	}
	t->slot[i].gen++;
	t->count++;
	memset(t->item + i * t->size, 0, t->size);
	return (handle_t)t->slot[i].gen << 32 | i;
}

void *
table_get(table_t *t, handle_t h)
{
	uint32_t i = (uint32_t)h, gen = h >> 32;

	if (i >= t->used || (gen & 1) == 0 || t->slot[i].gen != gen)
		return NULL;
	return t->item + i * t->size;
}

void
table_del(table_t *t, handle_t h)
{
	uint32_t i = (uint32_t)h;

	if (table_get(t, h) == NULL)
		return;
	t->slot[i].gen++;
	t->slot[i].next_free = t->free;
	t->free = i;
	t->count--;
}

uint32_t
table_count(const table_t *t)
{
	return t->count;
}

handle_t
table_next(table_t *t, handle_t after)
{
	uint32_t i = after == 0 ? 0 : (uint32_t)after + 1;

	for (; i < t->used; i++)
		if (t->slot[i].gen & 1)
			return (handle_t)t->slot[i].gen << 32 | i;
	return 0;
}
