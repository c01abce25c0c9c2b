/**
 * @file http_syntax.h
 * The parts of HTTP/1.1 messages by the grammars of RFC 9110, RFC 9112 and
 * RFC 3986. Strings are given by their bytes and needn't end with NUL.
 */
#ifndef HTTP_SYNTAX_H
#define HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** @return the bytes before the first that no line may hold, at most @p n */
size_t http_text_length(const char *p, size_t n);
/** A method, the name of a field, or an option. */
bool http_is_token(const char *p, size_t n);
/** A target in origin-form: a path and, perhaps, a query. */
bool http_is_path(const char *p, size_t n);
/** The value of a Host field. */
bool http_is_host(const char *p, size_t n);
/** What may follow the size in a chunk's line; may be empty. */
bool http_is_chunk_extension(const char *p, size_t n);
/**
 * Read digits only.
 * @return false: there are none, another byte, or a value over INT64_MAX
 */
bool http_decimal(const char *p, size_t n, int64_t *to);
/** Drop blanks and tabs at both ends. */
void http_trim(const char **p, size_t *n);
/** @return whether the text is @p word, in any case */
bool http_is_word(const char *p, size_t n, const char *word);
/** @return whether a list with commas has an element @p word, in any case */
bool http_list_has(const char *p, size_t n, const char *word);

#endif
