/* Decoding the platform's formats: what is read, ignored and rejected. */
#include "base/hash.h"
#include "platform/platform.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

static const char settings[] =
    "node_name: \"n1\"\nip: \"10.1.0.38\"\nzone: \"z1\"\nregion: \"r\"\n"
    "zones:\n  z1: \"r\"\n  z2: \"r\"\n"
    "listen:\n  front: \"10.1.0.38:8149\"\n  ready: \"10.1.0.38:8141\"\n"
    "  directory: \"10.1.0.38:8143\"\n"
    "internal_ports:\n  - 7380\n  - 7395\nseeds:\n  - \"10.2.0.4:8144\"\n"
    "limits:\n  cpu_share: 0.25\n  memory_mb: 260\n  max_fds: 4100\n"
    "heartbeat_ms: 1200\nbounds:\n  drain_ms: 2000\n  grace_s: 8\n"
    "  config_apply_ms: 2000\n  stability_window_ms: 3000\n"
    "  lease_ms: 3000\n  ceiling_window_s: 5\n  ceiling_over: 1.1\n"
    "  budget_ratio: 0.2\n  budget_extra_tries: 54\n"
    "  budget_window_s: 10\n  ttl_max_s: 5\n  require_fencing: false\n"
    "platform:\n  address: \"10.200.1.7:8142\"\n  history_s: 20\n";

static void
settings_are_read(void)
{
	instance_conf_t s;
	err_t e = { 0 };

	g_assert_cmpint(
	    instance_conf_parse(&s, settings, strlen(settings), &e), ==, 0);
	g_assert_cmpstr(s.instance, ==, "n1");
	g_assert_cmpstr(s.store_addr, ==, "10.200.1.7:8142");
	g_assert_cmpint(s.bounds.grace, ==, 8000);
	g_assert_cmpint(s.bounds.drain, ==, 2000);
	g_assert_cmpint(s.bounds.retry_extra, ==, 54);
	g_assert_cmpint(s.ndomain, ==, 2);
	g_assert_cmpint(s.peer_port, ==, 7380);
	g_assert_false(s.bounds.fencing);
}

/* A missing field is an error that names it. */
static void
each_missing_field_is_named(void)
{
	static const char *const field[] = { "node_name", "ip", "zone",
		"listen.front", "listen.ready", "listen.directory",
		"bounds.grace_s", "bounds.lease_ms", "heartbeat_ms",
		"platform.address", "limits.memory_mb", "internal_ports" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(field); i++) {
		const char *last = strrchr(field[i], '.');
		char *key =
		    g_strdup_printf("%s:", last != NULL ? last + 1 : field[i]);
		char *at, *text = g_strdup(settings);
		err_t e = { 0 };
		instance_conf_t s;

		at = strstr(text, key);
		/* A key stands at the start of its line or after a space. */
		while (at != text && at[-1] != '\n' && at[-1] != ' ')
			at = strstr(at + 1, key);
		*at = 'X';
		g_assert_cmpint(
		    instance_conf_parse(&s, text, strlen(text), &e), ==, -1);
		g_assert_cmpint(e.code, ==, ERR_INVAL);
		g_assert_nonnull(strstr(e.text, field[i]));
		g_free(text);
		g_free(key);
	}
}

static void
invalid_settings_are_errors(void)
{
	instance_conf_t s;
	err_t e = { 0 };
	char *text = g_strdup(settings);

	strstr(text, "grace_s: 8")[9] = 'x';
	g_assert_cmpint(
	    instance_conf_parse(&s, text, strlen(text), &e), ==, -1);
	g_assert_nonnull(strstr(e.text, "grace_s"));
	g_assert_cmpint(instance_conf_parse(&s, "a: [", 4, &e), ==, -1);
	g_assert_cmpint(instance_conf_parse(&s, "", 0, &e), ==, -1);
	g_free(text);
}

static config_t *
decode_config(const char *text)
{
	json_t *j = json_loads(text, 0, NULL);
	config_t *c = config_decode(j, NULL);

	json_decref(j);
	return c;
}

static int
decode_entry(endpoint_entry_t *en, const char *text, err_t *e)
{
	json_t *j = json_loads(text, 0, NULL);
	int rc = entry_decode(en, "i-1", j, e);

	json_decref(j);
	return rc;
}

#define NAME_OF_64 \
	"a234567890123456789012345678901234567890123456789012345678901234"

/* Guards against a name that is cut to that of another service or model. */
static void
too_long_names_are_left_out(void)
{
	config_t *c = decode_config(
	    "{\"version\":1,\"services\":[{\"name\":\"" NAME_OF_64
	    "\"},{\"name\":\"s\",\"engine\":{\"slots\":1,\"models\":["
	    "{\"name\":\"" NAME_OF_64 "\"},{\"name\":\"m\"}]}}]}");

	g_assert_cmpint(c->nservice, ==, 1);
	g_assert_cmpint(c->nunnamed, ==, 1);
	g_assert_cmpint(c->service[0].nmodel, ==, 1);
	g_assert_cmpint(c->service[0].nunnamed, ==, 1);
	config_unref(c);
}

static char *
entry_with(const char *version, int nmodel, int nadapter)
{
	GString *t = g_string_new(NULL);
	int i;

	g_string_printf(t,
	    "{\"service\":\"s\",\"address\":\"127.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":1,\"state\":\"ready\",\"version\":\"%s\",\"models\":[",
	    version);
	for (i = 0; i < nmodel; i++)
		g_string_append_printf(t, "%s{\"name\":\"m%d\",\"adapters\":[",
		    i > 0 ? "]}," : "", i);
	for (i = 0; i < nadapter; i++)
		g_string_append_printf(t, "%s\"a%d\"", i > 0 ? "," : "", i);
	g_string_append(t, nmodel > 0 ? "]}]}" : "]}");
	return g_string_free(t, FALSE);
}

/*
 * Guards against two versions taken for one, and against orders to an endpoint
 * that holds more than is known.
 */
static void
long_parts_of_an_entry(void)
{
	char *version = g_strnfill(SOFTWARE_TEXT_MAX - 1, 'v');
	char *longer = g_strnfill(SOFTWARE_TEXT_MAX, 'v');
	char *text[] = { entry_with(version, 1, 1), entry_with(longer, 1, 1),
		entry_with("v", LOADED_MODELS_MAX, ADAPTERS_MAX),
		entry_with("v", LOADED_MODELS_MAX + 1, 0),
		entry_with("v", 1, ADAPTERS_MAX + 1) };
	endpoint_entry_t en;
	err_t e;
	size_t i;

	g_assert_cmpint(decode_entry(&en, text[0], &e), ==, 0);
	g_assert_cmpstr(en.software, ==, version);
	g_assert_cmpint(decode_entry(&en, text[1], &e), ==, -1);
	g_assert_cmpint(decode_entry(&en, text[2], &e), ==, 0);
	g_assert_false(en.holds.partial);
	g_assert_cmpint(en.holds.nadapter, ==, ADAPTERS_MAX);
	for (i = 3; i < G_N_ELEMENTS(text); i++) {
		g_assert_cmpint(decode_entry(&en, text[i], &e), ==, 0);
		g_assert_true(en.holds.partial);
	}
	for (i = 0; i < G_N_ELEMENTS(text); i++)
		g_free(text[i]);
	g_free(version);
	g_free(longer);
}

/* Guards against a configuration that is decoded again at each answer. */
static void
version_is_read_without_decoding(void)
{
	json_t *j = json_pack("{s:i}", "version", 7);

	g_assert_cmpint(config_version(j), ==, 7);
	json_object_set_new(j, "version", json_string("7"));
	g_assert_cmpint(config_version(j), ==, -1);
	g_assert_cmpint(config_version(NULL), ==, -1);
	json_decref(j);
}

static void
configuration_is_read(void)
{
	static const char text[] =
	    "{\"version\":7,\"routes\":["
	    "{\"name\":\"a\",\"host\":\"h\",\"path_prefix\":\"/p/\","
	    "\"kind\":\"safe\",\"timeout_ms\":10,\"service\":\"s\"},"
	    "{\"name\":\"b\",\"host\":\"h\",\"path_prefix\":\"/p/q/\","
	    "\"kind\":\"streaming\",\"resumable\":true,\"traffic_split\":["
	    "{\"service\":\"s\",\"weight\":90},"
	    "{\"service\":\"t\",\"weight\":10}],\"max_attempts\":2},"
	    "{\"name\":\"odd\",\"kind\":\"of tomorrow\",\"host\":\"h\","
	    "\"path_prefix\":\"/z/\",\"service\":\"s\"},"
	    "{\"name\":\"empty\"},7],"
	    "\"services\":[{\"name\":\"s\",\"max_connections\":5,"
	    "\"engine\":{\"slots\":4,\"models\":[{\"name\":\"m\","
	    "\"weights_mb\":10,\"load_s\":1.5}]}}],"
	    "\"limits\":{\"max_body_bytes\":9}}";
	config_t *c = decode_config(text);

	g_assert_nonnull(c);
	g_assert_cmpint(c->version, ==, 7);
	g_assert_cmpint(c->nroute, ==, 3);
	/* The longest prefix is first; unknown kinds may run only once. */
	g_assert_cmpstr(c->route[0].name, ==, "b");
	g_assert_true(c->route[0].resumable);
	g_assert_cmpint(c->route[0].ntarget, ==, 2);
	g_assert_cmpint(c->route[1].kind, ==, ROUTE_SAFE);
	g_assert_cmpint(c->route[2].kind, ==, ROUTE_UNSAFE);
	g_assert_cmpint(
	    service_model(config_service(c, "s"), "m")->load, ==, 1500);
	g_assert_null(config_service(c, "t"));
	config_unref(c);
	g_assert_null(decode_config("{}"));
	g_assert_null(decode_config("{\"version\":\"7\"}"));
	g_assert_null(config_decode(NULL, NULL));
}

static void
entries_are_read(void)
{
	endpoint_entry_t en;
	err_t e = { 0 };

	g_assert_cmpint(
	    decode_entry(&en,
		"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":"
		"\"z\",\"slots\":8,\"state\":\"draining\",\"remaining_ms\":"
		"900,\"seq\":12,\"born\":1700000000000,\"models\":["
		"{\"name\":\"m\",\"adapters\":[\"a1\",\"a2@3\"]}],"
		"\"at_hand\":{\"in_memory\":[\"m\"],\"on_disk\":[\"n\"]}}",
		&e),
	    ==, 0);
	g_assert_true(en.leaving);
	g_assert_cmpint(en.remaining, ==, 900);
	g_assert_cmpint(en.write_count, ==, 12);
	g_assert_cmpint(en.started_at, ==, 1700000000000);
	g_assert_cmpint(en.holds.nadapter, ==, 2);
	g_assert_cmpstr(en.holds.adapter[1].name, ==, "a2");
	g_assert_cmpstr(en.holds.on_disk[0], ==, "n");
}

/* Random bytes give an error, or a result within its bounds. */
static void
corrupted_input_is_an_error_or_bounded(void)
{
	static const char good[] =
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\",\"models\":[{\"name\":\"m\","
	    "\"adapters\":[\"a1\"]}],\"seq\":1,\"born\":5}";
	GRand *g = g_rand_new_with_seed(3);
	endpoint_entry_t en;
	endpoint_report_t r;
	objects_t o;
	int i, k;

	for (i = 0; i < 20000; i++) {
		char *t = g_strdup(good);

		for (k = g_rand_int_range(g, 1, 5); k > 0; k--)
			t[g_rand_int_range(g, 0, sizeof(good) - 1)] =
			    (char)g_rand_int_range(g, 1, 256);
		if (decode_entry(&en, t, NULL) == 0)
			g_assert_cmpint(en.holds.nmodel, <=, LOADED_MODELS_MAX);
		if (report_decode(&r, t, strlen(t), NULL) == 0)
			g_assert_cmpint(r.holds.nmodel, <=, LOADED_MODELS_MAX);
		if (objects_decode(&o, t, strlen(t), NULL) == 0)
			objects_free(&o);
		config_unref(decode_config(t));
		g_free(t);
	}
	g_rand_free(g);
}

static void
bad_item_doesn_t_hide_the_rest(void)
{
	static const char text[] =
	    "{\"items\":[{\"metadata\":{}},{\"metadata\":{\"name\":\"a\","
	    "\"revision\":4},\"spec\":{\"x\":1}},7],\"has_more\":true,"
	    "\"as_of\":9}";
	static const char events[] =
	    "{\"events\":[{\"tombstone\":true,\"object\":{\"metadata\":"
	    "{\"name\":\"b\",\"revision\":10},\"spec\":null}}],\"as_of\":10}";
	objects_t o;

	g_assert_cmpint(objects_decode(&o, text, strlen(text), NULL), ==, 0);
	g_assert_cmpint(o.nobject, ==, 1);
	g_assert_true(o.more);
	g_assert_cmpint(json_object_size(o.object[0].spec), ==, 1);
	g_assert_cmpint(
	    json_integer_value(json_object_get(o.object[0].spec, "x")), ==, 1);
	objects_free(&o);
	g_assert_cmpint(
	    objects_decode(&o, events, strlen(events), NULL), ==, 0);
	g_assert_true(o.object[0].deleted);
	g_assert_null(o.object[0].spec);
	objects_free(&o);
	g_assert_cmpint(objects_decode(&o, "{}", 2, NULL), ==, -1);
}

static void
orders_carry_their_conditions(void)
{
	buf_t b = { 0 };
	order_t o = { .load = true,
		.model = "m",
		.adapter = "a3",
		.endpoint = "i-1",
		.expect = 4,
		.holder = "n1",
		.token = 41 };

	order_encode(&b, &o, "h:1");
	buf_add(&b, "", 1);
	g_assert_nonnull(strstr(b.p, "Expect-Instance: i-1\r\n"));
	g_assert_nonnull(strstr(b.p, "\"expect_revision\":4"));
	g_assert_nonnull(strstr(b.p, "\"fencing_token\":41"));
	g_assert_nonnull(strstr(b.p, "\"adapter\":\"a3\""));
	g_assert_cmpint(order_result(202), ==, ORDER_ACCEPTED);
	g_assert_cmpint(order_result(409), ==, ORDER_CONFLICT);
	g_assert_cmpint(order_result(500), ==, ORDER_UNKNOWN);
	buf_free(&b);
}

/* A call's head from its target and "Name: value" lines. */
static uint64_t
fingerprint(const char *target, const char *lines, const char *body)
{
	char **line = g_strsplit(lines, "\n", -1);
	head_t h = { 0 };
	call_head_t c;
	uint64_t sum;
	int i;

	h.target = (uint32_t)h.text.len;
	buf_add(&h.text, target, strlen(target) + 1);
	for (i = 0; line[i] != NULL && *line[i] != '\0'; i++) {
		char *value = strstr(line[i], ": ");

		*value = '\0';
		h.field[i].name = (uint32_t)h.text.len;
		buf_add(&h.text, line[i], strlen(line[i]) + 1);
		h.field[i].value = (uint32_t)h.text.len;
		buf_add(&h.text, value + 2, strlen(value + 2) + 1);
		h.nfield++;
	}
	call_head_decode(&c, &h);
	sum = call_fingerprint(&c, &h, "POST", NULL, hash_str(body, 0));
	buf_free(&h.text);
	g_strfreev(line);
	return sum;
}

/*
 * Guards against a request that isn't recognised when it is sent again, and
 * against taking another request of the same caller and path for it.
 */
static void
fingerprint_identifies_a_request(void)
{
	static const char lines[] = "Host: h\nRequest-Id: a\nModel: m/x\n"
				    "Prompt-Prefix: f1:20,f2:10,aa:5\n"
				    "Deadline-Remaining: 900\n";
	static const char *const same[] = {
		"Host: h\nRequest-Id: b\nModel: m/x\n"
		"Prompt-Prefix: f1:20,f2:10,bb:5\nDeadline-Remaining: 500\n",
		"Resumes: a\nLast-Event-Id: 4\nLength-Hint: 7\nHost: h\n"
		"Request-Id: c\nModel: m/x\nPrompt-Prefix: f1:20,f2:10,aa:5\n",
	};
	static const char *const other[] = {
		"Host: g\nRequest-Id: a\nModel: m/x\n"
		"Prompt-Prefix: f1:20,f2:10,aa:5\n",
		"Host: h\nRequest-Id: a\nModel: m/y\n"
		"Prompt-Prefix: f1:20,f2:10,aa:5\n",
		"Host: h\nRequest-Id: a\nModel: m/x\n"
		"Prompt-Prefix: f1:20,f3:10,aa:5\n",
		"Host: h\nRequest-Id: a\nModel: m/x\n"
		"Prompt-Prefix: f1:20,f2:10,aa:5\nAuthorization: other\n",
	};
	uint64_t sum = fingerprint("/a", lines, "body");
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(same); i++)
		g_assert_cmpuint(fingerprint("/a", same[i], "body"), ==, sum);
	for (i = 0; i < G_N_ELEMENTS(other); i++)
		g_assert_cmpuint(fingerprint("/a", other[i], "body"), !=, sum);
	g_assert_cmpuint(fingerprint("/b", lines, "body"), !=, sum);
	g_assert_cmpuint(fingerprint("/a?n=1", lines, "body"), !=, sum);
	g_assert_cmpuint(fingerprint("/a", lines, "bodx"), !=, sum);
}

/* Guards against a body's hash that depends on how the body arrives. */
static void
body_hash_ignores_how_it_is_cut(void)
{
	static const char body[] = "a body that arrives in several pieces, long"
				   " enough for more than one block of it";
	size_t n = strlen(body), cut;
	hasher_t h;

	for (cut = 0; cut <= n; cut++) {
		hasher_init(&h);
		hasher_add(&h, body, cut);
		hasher_add(&h, body + cut, n - cut);
		g_assert_cmpuint(hasher_sum(&h), ==, hash64(body, n, 0));
	}
}

static void
pages_are_found(void)
{
	char domain[ID_MAX];

	g_assert_cmpint(page_find("/v1/ready"), ==, PAGE_READY);
	g_assert_cmpint(page_find("/v1/resolve?name=x"), ==, PAGE_ENTRIES);
	g_assert_cmpint(page_find("/v1/readyx"), ==, PAGE_NONE);
	page_requester_domain(
	    "/v1/resolve?name=x&zone=z1&region=r", domain, sizeof(domain));
	g_assert_cmpstr(domain, ==, "z1");
	page_requester_domain("/v1/resolve", domain, sizeof(domain));
	g_assert_cmpstr(domain, ==, "");
}

#define T(name) g_test_add_func("/platform/" #name, name)

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	T(settings_are_read);
	T(each_missing_field_is_named);
	T(invalid_settings_are_errors);
	T(configuration_is_read);
	T(version_is_read_without_decoding);
	T(too_long_names_are_left_out);
	T(long_parts_of_an_entry);
	T(entries_are_read);
	T(corrupted_input_is_an_error_or_bounded);
	T(bad_item_doesn_t_hide_the_rest);
	T(orders_carry_their_conditions);
	T(fingerprint_identifies_a_request);
	T(body_hash_ignores_how_it_is_cut);
	T(pages_are_found);
	return g_test_run();
}
