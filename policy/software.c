#include "policy/software.h"

#include <string.h>

uint64_t
software_hash(const char *service, const char *version)
{
	uint64_t h = hash_str(version, hash_str(service, 0));

	return h != 0 ? h : 1;
}

void
software_init(software_t *s, ms_t since)
{
	memset(s, 0, sizeof(*s));
	s->complete_since = since;
}

bool
software_add(software_t *s, uint64_t service, uint64_t version, ms_t now)
{
	int i;

	for (i = 0; i < s->nseen; i++) {
		software_seen_t *v = &s->seen[i];

		if (v->service != service || v->version != version)
			continue;
		if (v->at < now)
			v->at = now;
		return false;
	}
	if (s->nseen == SOFTWARE_MAX) {
		s->overflowed = true;
		return true;
	}
	s->seen[s->nseen++] = (software_seen_t){
		.service = service, .version = version, .at = now
	};
	return true;
}

bool
software_mark_stored(software_t *s, uint64_t version, ms_t now)
{
	int i;

	for (i = 0; i < s->nseen; i++) {
		if (s->seen[i].version != version || s->seen[i].stored)
			continue;
		s->seen[i].stored = true;
		s->seen[i].stored_at = now;
		return true;
	}
	return false;
}

void
software_forget_stored(software_t *s, ms_t since)
{
	int i;

	for (i = 0; i < s->nseen; i++) {
		software_seen_t *v = &s->seen[i];

		v->stored = v->stored && v->stored_at < since;
		v->writing = false;
	}
}

void
software_write_began(software_t *s)
{
	int i;

	for (i = 0; i < s->nseen; i++)
		s->seen[i].writing = true;
}

bool
software_write_ended(software_t *s, bool written, ms_t now)
{
	bool added = false;
	int i;

	for (i = 0; i < s->nseen; i++) {
		software_seen_t *v = &s->seen[i];

		if (written && v->writing && !v->stored) {
			added = v->stored = true;
			v->stored_at = now;
		}
		v->writing = false;
	}
	return added;
}

bool
software_unstored(const software_t *s)
{
	int i;

	for (i = 0; i < s->nseen; i++)
		if (!s->seen[i].stored)
			return true;
	return false;
}

bool
software_is_stored(const software_t *s, uint64_t version)
{
	int i;

	for (i = 0; i < s->nseen; i++)
		if (s->seen[i].version == version)
			return s->seen[i].stored;
	return false;
}

bool
software_several(const software_t *s, uint64_t service)
{
	int i, n = 0;

	for (i = 0; i < s->nseen; i++)
		n += s->seen[i].service == service;
	return n > 1;
}

void
software_expire(software_t *s, ms_t now)
{
	int i;

	for (i = s->nseen - 1; i >= 0; i--)
		if (now - s->seen[i].at > STREAM_LIFE_MS)
			s->seen[i] = s->seen[--s->nseen];
}

uint64_t
software_sole(const software_t *s, uint64_t service, ms_t now)
{
	uint64_t sole = 0;
	int i;

	if (s->overflowed || now - s->complete_since < STREAM_LIFE_MS)
		return 0;
	for (i = 0; i < s->nseen; i++) {
		if (s->seen[i].service != service ||
		    now - s->seen[i].at > STREAM_LIFE_MS)
			continue;
		if (sole != 0)
			return 0;
		sole = s->seen[i].version;
	}
	return sole;
}
