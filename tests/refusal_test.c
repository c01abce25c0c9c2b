/*
 * Which refusals count as "not run". A faulty endpoint may write an earlier one
 * again on a connection that is kept, and run the call.
 */
#include "serve/serve.h"

#include <glib.h>
#include <string.h>

/** A refusal that arrives, and the sends before it. */
typedef struct refused {
	const char *name;
	bool kept;  /* the connection has carried a call before */
	bool named; /* it names the call */
	ep_kind_t from;
	bool counts;
} refused_t;

static const refused_t cases[] = {
	{ "named_kept", true, true, EP_DIRECT, true },
	{ "named_new", false, true, EP_DIRECT, true },
	{ "unnamed_new", false, false, EP_DIRECT, true },
	{ "unnamed_kept", true, false, EP_DIRECT, false },
	{ "instance_named_new", false, true, EP_PEER, false },
	{ "instance_named_kept", true, true, EP_PEER, false },
	{ "instance_unnamed_new", false, false, EP_PEER, false },
};

/* Guards against a refusal that may be to an earlier send. */
static void
refusal(gconstpointer which)
{
	const refused_t *x = which;
	ep_t *ep = g_new0(ep_t, 1);
	call_t *c = g_new0(call_t, 1);
	ep_conn_t w = { .ep = ep, .unused = !x->kept };
	answer_head_t a = { .call_id = x->named ? "r1" : NULL,
		.not_run = true };

	ep->kind = x->from;
	c->request.id = "r1";
	g_assert_cmpint(refusal_counts(c, &w, &a), ==, x->counts);
	g_free(c);
	g_free(ep);
}

/*
 * Guards against a call that is sent again on a kept connection, to an endpoint
 * that this instance, or one that handed the call over, has sent it to.
 */
static void
second_sends_are_known(void)
{
	ep_t *tried = g_new0(ep_t, 1), *other = g_new0(ep_t, 1);
	ep_t *instance = g_new0(ep_t, 1);
	call_t *c = g_new0(call_t, 1);

	instance->kind = EP_PEER;
	g_assert_false(call_may_have_been_sent(c, other));
	c->tried[c->ntried++] = tried;
	g_assert_true(call_may_have_been_sent(c, tried));
	g_assert_false(call_may_have_been_sent(c, other));
	/* An instance that it was handed to may have tried any. */
	c->tried[c->ntried++] = instance;
	g_assert_true(call_may_have_been_sent(c, other));
	/* So may one that handed it over, if it has sent it. */
	c->ntried = 0;
	c->from_instance = true;
	g_assert_false(call_may_have_been_sent(c, other));
	c->sends = 1;
	g_assert_true(call_may_have_been_sent(c, other));
	/* The list has lost some. */
	c->from_instance = false;
	c->ntried = TRIED_MAX + 1;
	g_assert_true(call_may_have_been_sent(c, other));
	g_free(c);
	g_free(tried);
	g_free(other);
	g_free(instance);
}

int
main(int argc, char **argv)
{
	size_t i;

	g_test_init(&argc, &argv, NULL);
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		char *path = g_strdup_printf("/refusal/%s", cases[i].name);

		g_test_add_data_func(path, &cases[i], refusal);
		g_free(path);
	}
	g_test_add_func(
	    "/refusal/second_sends_are_known", second_sends_are_known);
	return g_test_run();
}
