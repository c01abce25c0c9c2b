/**
 * @file operator.h
 * Operators: accepting notes, read-back, their HTTP.
 */
#ifndef OPERATOR_H
#define OPERATOR_H

#include "base/base.h"
#include "policy/policy.h"
#include "platform/platform.h"
#include "peer/peer.h"

typedef enum note_state {
	NOTE_ACCEPTED,
	NOTE_LOADING,	/* k of m first copies are ready */
	NOTE_SPREADING, /* in force on i of j instances */
	NOTE_IN_FORCE,
	NOTE_SUPERSEDED, /* a later note is in force */
} note_state_t;

typedef struct note_status {
	uint64_t number;
	char id[ID_MAX];
	note_state_t state;
	int ready, wanted; /* first copies */
	int on, of;	   /* instances */
} note_status_t;

/**
 * Accept a note: check all of it, write note/<n>, catalogue/<n>, move the
 * head. Idempotent by the note's id.
 * @param report every reason for a refusal, one a line.
 * @return its number; 0 on error: INVAL (report), CONFLICT (another note won:
 * named in the report), DOWN, UNKNOWN (apply the same again).
 */
uint64_t note_accept(platform_t *p, const settings_t *s, const view_t *v,
    const char *text, size_t len, const char *who, char **report, err_t *e);
/** Only check. */
int note_check(platform_t *p, const settings_t *s, const view_t *v,
    const char *text, size_t len, char **report, err_t *e);
int note_status(platform_t *p, const view_t *v, uint64_t number,
    note_status_t *out, err_t *e);

/** Operators' HTTP on its own thread. */
typedef struct opserver opserver_t;
typedef struct opserver_opts {
	const settings_t *settings;
	node_t *node;
	audit_t *audit;
} opserver_opts_t;
opserver_t *opserver_new(const opserver_opts_t *o, err_t *e);
void opserver_free(opserver_t *s);

#endif
