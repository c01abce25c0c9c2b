/**
 * @file operator.h
 * The operators' interface: accepting and reading release notes, and the HTTP
 * server.
 */
#ifndef OPERATOR_H
#define OPERATOR_H

#include "base/base.h"
#include "policy/policy.h"
#include "store/platform.h"
#include "peer/peer.h"

enum {
	/* Bytes of a request's body. note_parse() limits a note further. */
	NOTE_MAX = 512 * 1024
};

typedef enum note_state {
	NOTE_ACCEPTED,
	NOTE_LOADING,	/* some first copies aren't ready */
	NOTE_SPREADING, /* not yet in force on all instances */
	NOTE_IN_FORCE,
	NOTE_SUPERSEDED, /* a later note is in force */
} note_state_t;

typedef struct note_status {
	uint64_t number;
	char id[ID_MAX];
	note_state_t state;
	int ready, wanted; /* first copies: ready, in total */
	int on, of;	   /* instances: in force on, in total */
} note_status_t;
/** @return the stable name of a state. */
const char *note_state_name(note_state_t s);

/**
 * Accept a note: check it, write note/<n> and catalogue/<n>, and set note/head
 * to n. Idempotent by the note's id.
 * @param report set to all reasons for a refusal, one per line (malloc'd), or
 * to NULL.
 * @return its number; 0 on error: INVAL (see the report), CONFLICT (another
 * note was accepted: named in the report), DOWN or FULL (nothing was accepted),
 * UNKNOWN (apply the same note again).
 */
uint64_t note_accept(platform_t *p, const settings_t *s, const char *text,
    size_t len, const char *who, char **report, err_t *e);
/**
 * Check a note as note_accept() does, without writing anything.
 * @return 0, or -1 on error
 */
int note_check(platform_t *p, const settings_t *s, const char *text, size_t len,
    char **report, err_t *e);
/** An accepted note as it is stored. */
typedef struct note_text {
	uint64_t number;
	char id[ID_MAX];
	char who[ID_MAX];
	int64_t at; /* wall clock, ms */
	char *text;
} note_text_t;
typedef struct note_list {
	note_text_t *note; /* by ascending number, up to the head */
	int n;
	uint64_t head;
	char head_id[ID_MAX];
	uint64_t head_version; /* of the stored object; 0: none */
	note_text_t next;      /* written but not accepted; number 0: none */
} note_list_t;
/** Read all accepted notes and the head in one request. */
int note_list_read(platform_t *p, note_list_t *out, err_t *e);
void note_list_clear(note_list_t *l);

/**
 * Progress of a note. It never overstates: an instance on the platform's list
 * counts as behind until it has reported that the note is in force.
 */
int note_status(platform_t *p, const view_t *v, uint64_t number,
    note_status_t *out, err_t *e);

/** HTTP server for operators, with its own threads. */
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
