/*
 * What a dispatcher counts as loaded at its endpoint from entries, reports and
 * orders, without a network.
 */
#include "serve/plan.h"

#include <glib.h>
#include <string.h>

static const char config_text[] =
    "{\"version\":1,\"routes\":[],\"services\":[{\"name\":\"llm\","
    "\"engine\":{\"weights_mb\":200000,\"adapter_slots\":4,\"models\":["
    "{\"name\":\"m1\",\"weights_mb\":70000,\"load_s\":8,\"adapter_mb\":60},"
    "{\"name\":\"m2\",\"weights_mb\":70000,\"load_s\":8,\"adapter_mb\":60},"
    "{\"name\":\"m3\",\"weights_mb\":70000,\"load_s\":8,\"adapter_mb\":60}"
    "]}}]}";

typedef struct fixture {
	serve_t s;
	ep_t ep;
	dispatcher_t d;
	plan_t p; /* for dispatcher_get() */
} fixture_t;

static void
set_up(fixture_t *t)
{
	json_t *j = json_loads(config_text, 0, NULL);

	memset(t, 0, sizeof(*t));
	t->s.config = config_decode(j, NULL);
	json_decref(j);
	t->s.loop.now = 100000;
	t->p.s = &t->s;
	t->p.dispatchers =
	    g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
	t->d.s = &t->s;
	t->d.ep = &t->ep;
	t->ep.listed = true;
	t->ep.entry_written_after = t->ep.entry_read_at = 90000;
	g_strlcpy(t->ep.entry.service, "llm", sizeof(t->ep.entry.service));
	g_strlcpy(t->ep.entry.holds.model[0], "m1",
	    sizeof(t->ep.entry.holds.model[0]));
	t->ep.entry.holds.nmodel = 1;
}

static void
tear_down(fixture_t *t)
{
	g_hash_table_destroy(t->p.dispatchers);
	config_unref(t->s.config);
}

static void
add_order(fixture_t *t, const char *model, const char *adapter, bool load,
    int64_t orders, ms_t at)
{
	known_order_t l = {
		.order_count = orders, .load = load, .effective_at = at
	};

	g_strlcpy(l.model, model, sizeof(l.model));
	g_strlcpy(l.adapter, adapter, sizeof(l.adapter));
	ep_add_order(&t->ep, &l);
}

static void
add_model(fixture_t *t, const char *model)
{
	holding_set_t *h = &t->ep.entry.holds;

	g_strlcpy(h->model[h->nmodel++], model, ID_MAX);
}

/* The store is unreachable, so the entry isn't updated for a long time. */
static void
load_counts_until_an_entry_shows_it(void)
{
	fixture_t t;

	set_up(&t);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 70000);
	add_order(&t, "m2", "", true, 1, 108000);
	t.s.loop.now = 160000;
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	g_assert_true(dispatcher_loading(&t.d, "m2", ""));
	/* The write time is an estimate: an entry without it may be older. */
	t.ep.entry_written_after = 110000;
	ep_mark_shown(&t.ep);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	add_model(&t, "m2");
	ep_mark_shown(&t.ep);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	/* It was shown before, so an entry without it shows an unload. */
	t.ep.entry.holds.nmodel = 1;
	ep_mark_shown(&t.ep);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 70000);
	tear_down(&t);
}

/*
 * A busy endpoint writes its entry seconds late. If the loads that it lacks
 * weren't counted, more adapters would be ordered than there are slots.
 */
static void
slots_count_though_a_late_entry_lacks_them(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m1", "a1", true, 1, 100000);
	add_order(&t, "m1", "a2", true, 2, 100100);
	t.ep.entry_written_after = 104000;
	ep_mark_shown(&t.ep);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 2);
	/* The same load again, answered as already done. */
	add_order(&t, "m1", "a2", true, 0, 104100);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 2);
	tear_down(&t);
}

/*
 * After a store outage, an old entry lists the adapter from its first load. Its
 * unload was settled by a report, and the adapter was loaded again since.
 */
static void
entry_from_before_the_load_doesn_t_show_it(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m1", "a1", true, 7, 100000);
	t.ep.entry.holds.nadapter = 1;
	g_strlcpy(t.ep.entry.holds.adapter[0].name, "a1",
	    sizeof(t.ep.entry.holds.adapter[0].name));
	t.ep.entry_read_at = 101000;
	t.ep.entry_written_after = 95000;
	ep_mark_shown(&t.ep);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 1);
	t.ep.entry.holds.nadapter = 0;
	ep_mark_shown(&t.ep);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 1);
	/* An entry that was written later does show it. */
	t.ep.entry.holds.nadapter = 1;
	t.ep.entry_written_after = 101000;
	ep_mark_shown(&t.ep);
	t.ep.entry.holds.nadapter = 0;
	ep_mark_shown(&t.ep);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 0);
	tear_down(&t);
}

/*
 * An unload waits for the calls that use the adapter. While one waited for a
 * call of 12 s, no other adapter of the endpoint was unloaded.
 */
static void
adapter_in_use_doesn_t_block_other_unloads(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m1", "a1", false, 1, 100000);
	g_assert_true(dispatcher_adapter_unload_pending(&t.d, 2));
	t.s.loop.now += 400;
	g_assert_false(dispatcher_adapter_unload_pending(&t.d, 2));
	/* An endpoint with a single slot. */
	g_assert_true(dispatcher_adapter_unload_pending(&t.d, 0));
	t.ep.nknown = 0;
	g_assert_false(dispatcher_adapter_unload_pending(&t.d, 0));
	add_order(&t, "m1", "a1", false, 1, 100000);
	add_order(&t, "m1", "a2", false, 2, 100400);
	g_assert_true(dispatcher_adapter_unload_pending(&t.d, 2));
	t.s.loop.now += 400;
	/* Half of the slots wait for calls: no further unload. */
	g_assert_true(dispatcher_adapter_unload_pending(&t.d, 2));
	tear_down(&t);
}

/* Loading cached weights takes much less than the configured time. */
static void
cached_load_serves_as_soon_as_an_entry_shows_it(void)
{
	fixture_t t;

	set_up(&t);
	dispatcher_get(&t.p, &t.ep)->need_report = false;
	add_order(&t, "m2", "", true, 1, 108000);
	dispatcher_get(&t.p, &t.ep)->busy_until = 108000;
	t.s.loop.now = 101000;
	g_assert_false(ep_holds(&t.ep, "m2", "", t.s.loop.now));
	g_assert_false(dispatcher_idle(dispatcher_get(&t.p, &t.ep)));
	add_model(&t, "m2");
	ep_mark_shown(&t.ep);
	g_assert_true(ep_holds(&t.ep, "m2", "", t.s.loop.now));
	g_assert_true(dispatcher_idle(dispatcher_get(&t.p, &t.ep)));
	tear_down(&t);
}

/* An entry from before an unload doesn't show a load that followed it. */
static void
load_after_an_unload_isn_t_shown_by_old_entries(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m1", "a1", true, 1, 100000);
	add_order(&t, "m1", "a1", false, 2, 100100);
	t.ep.known[1].confirmed = true;
	add_order(&t, "m1", "a1", true, 3, 100200);
	t.ep.entry.holds.nadapter = 1;
	g_strlcpy(t.ep.entry.holds.adapter[0].name, "a1",
	    sizeof(t.ep.entry.holds.adapter[0].name));
	ep_mark_shown(&t.ep);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 1);
	t.ep.entry.holds.nadapter = 0;
	ep_mark_shown(&t.ep);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 1);
	tear_down(&t);
}

/* An unload waits for the calls that use the adapter. */
static void
pending_unload_frees_nothing(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m1", "a1", true, 1, 100000);
	add_order(&t, "m1", "a1", false, 2, 100100);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 1);
	t.ep.known[1].confirmed = true;
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 0);
	tear_down(&t);
}

/* The store lags: an entry from before a report is read after it. */
static void
entry_older_than_a_report_hides_nothing(void)
{
	fixture_t t;
	endpoint_report_t r = { .orders = 4 };

	set_up(&t);
	g_strlcpy(r.holds.model[0], "m1", ID_MAX);
	g_strlcpy(r.holds.model[1], "m2", ID_MAX);
	r.holds.nmodel = 2;
	g_strlcpy(r.loading[0].model, "m2", ID_MAX);
	g_strlcpy(r.loading[0].adapter, "a7", sizeof(r.loading[0].adapter));
	r.nloading = 1;
	add_order(&t, "m3", "", true, 3, 100000);
	ep_apply_report(&t.ep, &r, t.s.loop.now);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140060);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 1);
	t.ep.entry.holds.nmodel = 1;
	t.ep.entry_written_after = t.s.loop.now + 1000;
	ep_mark_shown(&t.ep);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140060);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 1);
	tear_down(&t);
}

/* Many adapter orders must not evict a load that no entry has shown. */
static void
many_orders_evict_no_unshown_load(void)
{
	fixture_t t;
	char name[16];
	int i;

	set_up(&t);
	add_order(&t, "m2", "", true, 1, 100000);
	for (i = 0; i < 2 * KNOWN_ORDERS_MAX; i++) {
		g_snprintf(name, sizeof(name), "a%d", i);
		add_order(&t, "m1", name, false, 2 + i, 100000 + i);
	}
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	tear_down(&t);
}

/* The entry and the orders announced by peers may both be out of date. */
static void
new_dispatcher_needs_a_report(void)
{
	fixture_t t;

	set_up(&t);
	g_assert_false(dispatcher_idle(dispatcher_get(&t.p, &t.ep)));
	dispatcher_get(&t.p, &t.ep)->need_report = false;
	g_assert_true(dispatcher_idle(dispatcher_get(&t.p, &t.ep)));
	tear_down(&t);
}

/* A report resets the count, so two orders may have the same count. */
static void
orders_differ_by_content(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m1", "a1", true, 5, 100000);
	add_order(&t, "m1", "a2", true, 5, 100000);
	add_order(&t, "m1", "a2", true, 5, 100000);
	g_assert_cmpint(dispatcher_adapter_count(&t.d), ==, 2);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 70120);
	tear_down(&t);
}

static void
announced_unload_isn_t_an_accepted_order(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m1", "", false, 0, 100000);
	g_assert_cmpint(t.ep.order_count, ==, 0);
	g_assert_false(ep_holds(&t.ep, "m1", "", 100001));
	/* Its memory counts until the entry shows the unload. */
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 70000);
	/* The unload was refused: the model is still loaded. */
	add_order(&t, "m1", "", true, 0, 100010);
	g_assert_true(ep_holds(&t.ep, "m1", "", 100020));
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 70000);
	tear_down(&t);
}

static void
unloaded_load_isn_t_pending(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m2", "", true, 1, 100000);
	add_order(&t, "m2", "", false, 2, 100100);
	g_assert_false(dispatcher_loading(&t.d, "m2", ""));
	/* Its memory counts until the calls that use it have ended. */
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	g_assert_false(ep_holds(&t.ep, "m2", "", 100200));
	tear_down(&t);
}

/* An order without an answer may be carried out seconds later. */
static void
unanswered_load_counts_while_it_may_happen(void)
{
	fixture_t t;

	set_up(&t);
	g_strlcpy(t.d.uncertain_model, "m3", sizeof(t.d.uncertain_model));
	t.d.uncertain_until = t.s.loop.now + 13000;
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	t.s.loop.now += 13001;
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 70000);
	tear_down(&t);
}

static void
outdated_entry_needs_a_report(void)
{
	fixture_t t;

	set_up(&t);
	add_order(&t, "m2", "", true, 1, 100000);
	dispatcher_check_entry(&t.d);
	g_assert_false(t.d.need_report);
	t.s.loop.now = 106000;
	dispatcher_check_entry(&t.d);
	g_assert_true(t.d.need_report);
	g_assert_false(dispatcher_idle(&t.d));
	tear_down(&t);
}

static void
unknown_model_fills_the_memory(void)
{
	fixture_t t;

	set_up(&t);
	g_strlcpy(t.ep.entry.holds.model[1], "unheard-of",
	    sizeof(t.ep.entry.holds.model[1]));
	t.ep.entry.holds.nmodel = 2;
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), >=, 200000);
	tear_down(&t);
}

/* A new holder has read stale entries, which don't show recent orders. */
static void
stale_answers_show_no_order(void)
{
	fixture_t t;
	store_watch_t f = { .kind = KIND_ENDPOINTS,
		.allow_stale = true,
		.requested_at = 108000,
		.answered_at = 107000 };

	set_up(&t);
	add_order(&t, "m2", "", true, 1, 108000);
	t.s.loop.now = 110000;
	t.ep.entry_written_after = store_watch_written_after(&f, t.s.loop.now);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	/* An immediate answer may date from any time since the last one. */
	f.allow_stale = false;
	f.requested_at = 109990;
	t.ep.entry_written_after = store_watch_written_after(&f, t.s.loop.now);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	/* A late answer should be recent, but that is an estimate too. */
	f.requested_at = 108500;
	t.ep.entry_written_after = store_watch_written_after(&f, t.s.loop.now);
	g_assert_cmpfloat(dispatcher_memory_mb(&t.d), ==, 140000);
	g_assert_false(ep_entry_may_lag(&t.ep, &t.ep.known[0]));
	tear_down(&t);
}

#define T(name) g_test_add_func("/orders/" #name, name)

/* Guards against orders to an endpoint of which not all that it holds is known.
 */
static void
endpoint_known_in_part_isn_t_ordered(void)
{
	fixture_t t;

	set_up(&t);
	g_assert_true(dispatcher_idle(&t.d));
	t.ep.entry.holds.partial = true;
	g_assert_false(dispatcher_idle(&t.d));
	tear_down(&t);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(load_counts_until_an_entry_shows_it);
	T(orders_differ_by_content);
	T(announced_unload_isn_t_an_accepted_order);
	T(unloaded_load_isn_t_pending);
	T(unanswered_load_counts_while_it_may_happen);
	T(outdated_entry_needs_a_report);
	T(unknown_model_fills_the_memory);
	T(stale_answers_show_no_order);
	T(slots_count_though_a_late_entry_lacks_them);
	T(pending_unload_frees_nothing);
	T(entry_from_before_the_load_doesn_t_show_it);
	T(adapter_in_use_doesn_t_block_other_unloads);
	T(cached_load_serves_as_soon_as_an_entry_shows_it);
	T(load_after_an_unload_isn_t_shown_by_old_entries);
	T(entry_older_than_a_report_hides_nothing);
	T(many_orders_evict_no_unshown_load);
	T(new_dispatcher_needs_a_report);
	g_test_add_func("/orders/endpoint_known_in_part_isn_t_ordered",
	    endpoint_known_in_part_isn_t_ordered);
	return g_test_run();
}
