/* The organisations of a configuration, and the keys that name them. */
#include "platform/platform.h"

#include <glib.h>
#include <string.h>

static config_t *
config_with(const char *organisations)
{
	char *text = g_strdup_printf(
	    "{\"version\":3,\"routes\":[],\"services\":[]%s}", organisations);
	json_t *j = json_loads(text, 0, NULL);
	config_t *c = config_decode(j, NULL);

	g_assert_nonnull(c);
	json_decref(j);
	g_free(text);
	return c;
}

static const organisation_t *
of_key(const config_t *c, const char *key)
{
	return config_organisation_of_key(c, key, strlen(key));
}

/* Guards against taking one organisation's key for another's. */
static void
each_key_names_its_organisation(void)
{
	config_t *c = config_with(
	    ",\"tenants\":[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],"
	    "\"priority\":2,\"unit\":\"token_count\",\"plain_tokens\":200,"
	    "\"rate_per_s\":50.5,\"burst\":70},"
	    "{\"name\":\"b c\",\"api_keys\":[\"k3\"]}]");

	g_assert_true(c->has_organisations);
	g_assert_cmpstr(of_key(c, "k1")->name, ==, "a");
	g_assert_cmpstr(of_key(c, "k2")->name, ==, "a");
	g_assert_cmpstr(of_key(c, "k3")->name, ==, "b c");
	g_assert_null(of_key(c, "k"));
	g_assert_null(of_key(c, "k11"));
	g_assert_null(of_key(c, ""));
	g_assert_true(of_key(c, "k1")->by_tokens);
	g_assert_cmpfloat(of_key(c, "k1")->rate, ==, 50.5);
	g_assert_cmpfloat(of_key(c, "k3")->rate, ==, 0);
	g_assert_cmpint(of_key(c, "k3")->priority, ==, -1);
	g_assert_true(config_organisation(c, "b c") == of_key(c, "k3"));
	config_unref(c);
}

/* Guards against a list with errors that names the wrong one, or nobody. */
static void
errors_leave_the_others(void)
{
	config_t *c = config_with(
	    ",\"tenants\":[{\"name\":\"\",\"api_keys\":[\"k0\"]},"
	    "{\"api_keys\":[\"k9\"]},{\"name\":\"x\\r\\ny\",\"api_keys\":[]},"
	    "{\"name\":\"a\",\"api_keys\":[\"k1\",\"\",7,\"shared\",\"k1\"]},"
	    "{\"name\":\"b\",\"api_keys\":[\"shared\",\"k2\"]},"
	    "{\"name\":\"c\"},17]");

	g_assert_cmpint(c->norganisation, ==, 3);
	g_assert_cmpint(c->norganisation_unusable, ==, 4);
	g_assert_cmpint(c->nkey_unusable, ==, 3);
	g_assert_null(of_key(c, "k0"));
	g_assert_null(of_key(c, "shared"));
	g_assert_cmpstr(of_key(c, "k1")->name, ==, "a");
	g_assert_cmpstr(of_key(c, "k2")->name, ==, "b");
	config_unref(c);
	c = config_with("");
	g_assert_false(c->has_organisations);
	config_unref(c);
	c = config_with(",\"tenants\":null");
	g_assert_false(c->has_organisations);
	config_unref(c);
	/* All of them were taken away: no key is valid. */
	c = config_with(",\"tenants\":[]");
	g_assert_true(c->has_organisations);
	g_assert_null(of_key(c, "k1"));
	config_unref(c);
}

/* Guards against keys that are lost where there are many. */
static void
ten_thousand_keys(void)
{
	GString *s = g_string_new(",\"tenants\":[{\"name\":\"a\","
				  "\"api_keys\":[\"key-0\"");
	char key[32];
	config_t *c;
	int i;

	for (i = 1; i < 10000; i++)
		g_string_append_printf(s, ",\"key-%d\"", i);
	g_string_append(s, "]}]");
	c = config_with(s->str);
	for (i = 0; i < 10000; i++) {
		snprintf(key, sizeof(key), "key-%d", i);
		g_assert_nonnull(of_key(c, key));
	}
	g_assert_null(of_key(c, "key-10000"));
	config_unref(c);
	g_string_free(s, TRUE);
}

static api_key_field_t
decode(const char *first, const char *second)
{
	static head_t h;
	const char *v[] = { first, second };
	int i;

	buf_free(&h.text);
	h.nfield = 0;
	for (i = 0; i < 2 && v[i] != NULL; i++) {
		h.field[i].name = (uint32_t)h.text.len;
		buf_add(&h.text, "authorization", 14);
		h.field[i].value = (uint32_t)h.text.len;
		buf_add(&h.text, v[i], strlen(v[i]) + 1);
		h.nfield++;
	}
	return api_key_decode(&h);
}

/* Guards against a field that one program reads as a key and another doesn't.
 */
static void
key_field_is_read_strictly(void)
{
	static const char *const bad[] = { "Bearer k", "Token", "Token ", "k",
		"Token k l", "Tokenk" };
	api_key_field_t k = decode("Token abc", NULL);
	size_t i;

	g_assert_cmpint(k.kind, ==, API_KEY_GIVEN);
	g_assert_cmpint(k.length, ==, 3);
	g_assert_cmpint(memcmp(k.text, "abc", 3), ==, 0);
	g_assert_cmpint(decode("token  abc ", NULL).length, ==, 3);
	g_assert_cmpint(decode(NULL, NULL).kind, ==, API_KEY_NONE);
	g_assert_cmpint(
	    decode("Token a", "Token b").kind, ==, API_KEY_MALFORMED);
	for (i = 0; i < G_N_ELEMENTS(bad); i++)
		g_assert_cmpint(
		    decode(bad[i], NULL).kind, ==, API_KEY_MALFORMED);
}

int
main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/organisations/each_key_names_its_organisation",
	    each_key_names_its_organisation);
	g_test_add_func(
	    "/organisations/errors_leave_the_others", errors_leave_the_others);
	g_test_add_func("/organisations/ten_thousand_keys", ten_thousand_keys);
	g_test_add_func("/organisations/key_field_is_read_strictly",
	    key_field_is_read_strictly);
	return g_test_run();
}
