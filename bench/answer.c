/* Load tool: check of an answer against the text that its prompt determines. */
#include "bench/load.h"

#include "standin/token.h"

#include <string.h>

static const char *const names[VERDICT_N] = { "open", "whole", "refused",
	"failed", "unknown", "unanswered", "lost", "cut", "doubled",
	"foreign" };

const char *
verdict_name(verdict_t v)
{
	return names[v];
}

void
answer_init(answer_check_t *a, const char *prompt, uint32_t total)
{
	memset(a, 0, sizeof(*a));
	a->prompt = prompt;
	a->total_tokens = total;
	a->line = g_string_new(NULL);
	a->data = g_string_new(NULL);
}

void
answer_clear(answer_check_t *a)
{
	g_string_free(a->line, TRUE);
	g_string_free(a->data, TRUE);
}

void
answer_resume(answer_check_t *a)
{
	g_string_truncate(a->line, 0);
	g_string_truncate(a->data, 0);
	a->in_error_event = a->error = a->error_not_run = false;
	a->call_id[0] = '\0';
}

/*
 * Compare a token with the expected one. The previous token again counts as
 * doubled, any other text as foreign.
 */
static int
check_token(answer_check_t *a, const char *text)
{
	char want[TOKEN_MAX];

	if (text == NULL || text[0] == '\0')
		return 0;
	token_text(want, sizeof(want), a->prompt, a->next_token);
	if (strcmp(text, want) == 0) {
		a->next_token++;
		return 1;
	}
	if (a->next_token > 0) {
		token_text(want, sizeof(want), a->prompt, a->next_token - 1);
		if (strcmp(text, want) == 0) {
			a->doubled = true;
			return 0;
		}
	}
	a->foreign = true;
	return 0;
}

static void
read_error(answer_check_t *a, const json_t *j)
{
	const json_t *error = json_object_get(j, "error");
	const char *ran = json_string_value(json_object_get(error, "ran"));
	const char *code = json_string_value(json_object_get(error, "code"));

	a->error = true;
	str_set(a->error_code, sizeof(a->error_code), code == NULL ? "" : code);
	a->error_not_run = ran != NULL && strcmp(ran, "no") == 0;
}

static int
read_event(answer_check_t *a)
{
	json_t *j, *choice;
	const char *id;
	int n = 0;

	if (strcmp(a->data->str, "[DONE]") == 0) {
		a->ended = true;
		return 0;
	}
	j = json_loadb(a->data->str, a->data->len, 0, NULL);
	id = json_string_value(json_object_get(j, "id"));
	choice = json_array_get(json_object_get(j, "choices"), 0);
	if (a->in_error_event)
		read_error(a, j);
	else if (id != NULL && a->call_id[0] != '\0' &&
		 strcmp(id, a->call_id) != 0)
		a->foreign = true;
	else if (json_is_true(json_object_get(
		     j, "end"))) /* from an engine called directly */
		a->ended = true;
	else if (json_object_get(j, "token") != NULL)
		n = check_token(
		    a, json_string_value(json_object_get(j, "token")));
	else
		n = check_token(
		    a, json_string_value(json_object_get(
			   json_object_get(choice, "delta"), "content")));
	if (id != NULL && a->call_id[0] == '\0')
		str_set(a->call_id, sizeof(a->call_id), id);
	json_decref(j);
	return n;
}

static int
read_line(answer_check_t *a)
{
	const char *s = a->line->str;
	int n = 0;

	if (s[0] == '\0') {
		if (a->data->len > 0)
			n = read_event(a);
		g_string_truncate(a->data, 0);
		a->in_error_event = false;
	} else if (g_str_has_prefix(s, "id: "))
		str_set(a->event_id, sizeof(a->event_id), s + 4);
	else if (strcmp(s, "event: error") == 0)
		a->in_error_event = true;
	else if (g_str_has_prefix(s, "data: "))
		g_string_append(a->data, s + 6);
	return n;
}

int
answer_feed(answer_check_t *a, const char *p, size_t n)
{
	int tokens = 0;
	size_t i;

	for (i = 0; i < n; i++) {
		if (p[i] != '\n') {
			g_string_append_c(a->line, p[i]);
			continue;
		}
		tokens += read_line(a);
		g_string_truncate(a->line, 0);
	}
	return tokens;
}

void
answer_check_json(answer_check_t *a, const char *p, size_t n)
{
	json_t *j = json_loadb(p, n, 0, NULL);
	json_t *choice = json_array_get(json_object_get(j, "choices"), 0);
	const char *text = json_string_value(
	    json_object_get(json_object_get(choice, "message"), "content"));
	GString *want = g_string_new(NULL);
	char token[TOKEN_MAX];
	uint32_t k;

	for (k = 0; k < a->total_tokens; k++) {
		token_text(token, sizeof(token), a->prompt, k);
		g_string_append(want, token);
	}
	if (text != NULL && strcmp(text, want->str) == 0) {
		a->next_token = a->total_tokens;
		a->ended = true;
	} else if (text != NULL && g_str_has_prefix(want->str, text))
		a->ended = true; /* too short: the verdict is "cut" */
	else if (text != NULL)
		a->foreign = true;
	g_string_free(want, TRUE);
	json_decref(j);
}

verdict_t
answer_verdict(const answer_check_t *a)
{
	if (a->foreign)
		return VERDICT_FOREIGN;
	if (a->doubled)
		return VERDICT_DOUBLED;
	if (a->ended)
		return a->next_token == a->total_tokens ? VERDICT_WHOLE
							: VERDICT_CUT;
	if (a->error)
		return a->error_not_run ? VERDICT_REFUSED : VERDICT_FAILED;
	return VERDICT_OPEN;
}
