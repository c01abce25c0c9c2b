#include "peer/node.h"

#include <stdlib.h>
#include <string.h>

enum {
	REQUEST_RETRY_MS = 500 /* without an answer */
};

static void
request_catalogue(node_t *n, conn_t *c, bool whole)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__CatalogueRequest a = WIRE__CATALOGUE_REQUEST__INIT;

	a.have_number = n->catalogue->number;
	a.full = whole;
	f.version = WIRE_VERSION;
	f.body_case = WIRE__FRAME__BODY_CATALOGUE_REQUEST;
	f.catalogue_request = &a;
	conn_send(c, &f);
	n->catalogue_requested_at = n->now;
}

void
catalogue_handle_number(node_t *n, conn_t *c, uint64_t number)
{
	c->relay.peer_catalogue = number;
	if (number > n->catalogue->number &&
	    (n->catalogue_requested_at == 0 ||
		n->now - n->catalogue_requested_at > REQUEST_RETRY_MS))
		request_catalogue(n, c, false);
}

void
catalogue_tick(node_t *n)
{
	conn_t *c;

	if (n->catalogue_requested_at == 0 ||
	    n->now - n->catalogue_requested_at <= REQUEST_RETRY_MS)
		return;
	n->catalogue_requested_at = 0;
	for (c = net_first(n->net); c != NULL; c = c->next) {
		if (c->role != CONN_NODE || c->state != CONN_OPEN ||
		    c->relay.peer_catalogue <= n->catalogue->number)
			continue;
		request_catalogue(n, c, false);
		return;
	}
}

void
catalogue_handle_request(node_t *n, conn_t *c, const Wire__CatalogueRequest *a)
{
	Wire__Frame f = WIRE__FRAME__INIT;
	Wire__Catalogue m = WIRE__CATALOGUE__INIT;

	if (a->have_number >= n->catalogue->number)
		return;
	m.number = n->catalogue->number;
	if (!a->full && n->note != NULL && a->have_number == n->note_base &&
	    m.number == n->note_base + 1) {
		m.note_base = n->note_base;
		m.note.data = (uint8_t *)n->note;
		m.note.len = n->note_len;
	} else {
		if (n->catalogue_json == NULL)
			n->catalogue_json = catalogue_encode(n->catalogue);
		m.catalogue.data = (uint8_t *)n->catalogue_json;
		m.catalogue.len = strlen(n->catalogue_json);
	}
	f.version = WIRE_VERSION;
	f.body_case = WIRE__FRAME__BODY_CATALOGUE;
	f.catalogue = &m;
	conn_send(c, &f);
}

void
catalogue_set_note(node_t *n, uint64_t base, const char *text, size_t len)
{
	char *copy = malloc(len + 1);

	if (copy == NULL)
		return;
	memcpy(copy, text, len);
	copy[len] = '\0';
	free(n->note);
	n->note = copy;
	n->note_len = len;
	n->note_base = base;
}

void
catalogue_install(node_t *n, catalogue_t *c)
{
	if (c->number <= n->catalogue->number) {
		catalogue_unref(c);
		return;
	}
	log_event(LOG_INFO, "catalogue", "number=%" PRIu64 " note=%s",
	    c->number, c->note_id);
	catalogue_unref(n->catalogue);
	n->catalogue = c;
	free(n->catalogue_json);
	n->catalogue_json = NULL;
	n->catalogue_requested_at = 0;
	/* Without delay: a note must be in force within seconds. */
	n->announce = true;
	n->publish_pending = true;
}

catalogue_t *
catalogue_from_message(const catalogue_t *have, const Wire__Catalogue *m,
    const settings_t *s, err_t *e)
{
	catalogue_t *c;
	char *report = NULL;
	note_t *note;

	if (m->note.len == 0)
		return catalogue_decode(
		    (const char *)m->catalogue.data, m->catalogue.len, e);
	if (m->note_base != have->number) {
		err_set(e, ERR_CONFLICT, "the note is for catalogue %" PRIu64,
		    m->note_base);
		return NULL;
	}
	note = note_parse((const char *)m->note.data, m->note.len, &report, e);
	free(report);
	if (note == NULL)
		return NULL;
	report = NULL;
	c = note_apply(have, note, s, &report, e);
	free(report);
	note_free(note);
	return c;
}

void
catalogue_handle(node_t *n, conn_t *c, const Wire__Catalogue *m)
{
	char quoted[ERR_TEXT_MAX];
	catalogue_t *made;
	err_t e = { ERR_NONE, "" };

	n->catalogue_requested_at = 0;
	if (m->number <= n->catalogue->number)
		return;
	made = catalogue_from_message(n->catalogue, m, n->settings, &e);
	if (made != NULL && made->number == m->number) {
		if (m->note.len > 0)
			catalogue_set_note(n, m->note_base,
			    (const char *)m->note.data, m->note.len);
		catalogue_install(n, made);
		return;
	}
	if (made != NULL)
		catalogue_unref(made);
	log_event(LOG_WARNING, "catalogue_refused",
	    "peer=%s number=%" PRIu64 " delta=%d error=%s", c->peer, m->number,
	    m->note.len > 0, log_quote(quoted, sizeof(quoted), e.text));
	/* The note couldn't be applied: get the whole catalogue. */
	if (m->note.len > 0)
		request_catalogue(n, c, true);
}
