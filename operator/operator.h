/**
 * @file operator.h
 * Operators: accepting notes, read-back, their HTTP.
 */
#ifndef OPERATOR_H
#define OPERATOR_H

#include "base/base.h"
#include "policy/policy.h"
#include "store/platform.h"
#include "peer/peer.h"

enum {
	NOTE_MAX = 512 * 1024 /* bytes of a note's text */
};

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
/** Stable name of a state, as operators read it. */
const char *note_state_name(note_state_t s);

/**
 * Accept a note: check all of it, write note/<n>, catalogue/<n>, move the
 * head. Idempotent by the note's id.
 * @param report every reason for a refusal, one a line.
 * @return its number; 0 on error: INVAL (report), CONFLICT (another note won:
 * named in the report), DOWN, UNKNOWN (apply the same again).
 */
uint64_t note_accept(platform_t *p, const settings_t *s, const char *text,
    size_t len, const char *who, char **report, err_t *e);
/** Only check, as note_accept() would now; nothing is written. */
int note_check(platform_t *p, const settings_t *s, const char *text, size_t len,
    char **report, err_t *e);
/** An accepted note as it is kept. */
typedef struct note_text {
	uint64_t number;
	char id[ID_MAX];
	char who[ID_MAX];
	int64_t at; /* wall clock, ms */
	char *text;
} note_text_t;
typedef struct note_list {
	note_text_t *note; /* ascending; not above the head */
	int n;
	uint64_t head;
	char head_id[ID_MAX];
	uint64_t head_version; /* of the object, 0: there is none */
	note_text_t next;      /* written but not accepted; number 0: none */
} note_list_t;
/** All accepted notes and the head, from one read. */
int note_list_read(platform_t *p, note_list_t *out, err_t *e);
void note_list_clear(note_list_t *l);

/**
 * How far a note has got. Never ahead of the truth: an instance that is on
 * the platform's list counts as behind until it has said otherwise.
 */
int note_status(platform_t *p, const view_t *v, uint64_t number,
    note_status_t *out, err_t *e);

/** Operators' HTTP on its own thread. */
typedef struct operator_server operator_server_t;
typedef struct operator_server_opts {
	const settings_t *settings;
	node_t *node;
	audit_t *audit; /* may be NULL */
} operator_server_opts_t;
operator_server_t *operator_server_new(
    const operator_server_opts_t *o, err_t *e);
void operator_server_free(operator_server_t *s);

#endif
