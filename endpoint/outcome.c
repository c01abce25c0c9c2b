#include "endpoint/outcome.h"

#include <string.h>
#include <jansson.h>

enum {
	STATUS_ERROR = 400
};

/* @return true if the body of an error says that the call wasn't run */
static bool
says_not_run(const call_facts_t *f)
{
	json_t *j;
	const char *ran;
	bool not_run;

	if (f->status < STATUS_ERROR || !f->complete || f->body == NULL)
		return false;
	j = json_loadb(f->body, f->len, 0, NULL);
	ran = json_string_value(json_object_get(j, "ran"));
	not_run = ran != NULL && strcmp(ran, "no") == 0;
	json_decref(j);
	return not_run;
}

call_outcome_t
call_classify(const call_facts_t *f, bool *not_run)
{
	*not_run = !f->sent || says_not_run(f);
	if (f->cancelled)
		return CALL_CANCELLED;
	if (*not_run)
		return CALL_REFUSED;
	if (!f->plain && f->status == 200)
		return f->end_marker ? CALL_DONE : CALL_UNKNOWN;
	if (!f->complete || f->status == 0)
		return CALL_UNKNOWN;
	return f->plain && f->status < STATUS_ERROR ? CALL_DONE : CALL_FAILED;
}
