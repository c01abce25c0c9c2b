/**
 * @file token.h
 * The tokens that a stand-in engine generates for a prompt. Tests and the load
 * tool compute them as well to check answers.
 */
#ifndef STANDIN_TOKEN_H
#define STANDIN_TOKEN_H

#include <stddef.h>
#include <stdint.h>

enum {
	TOKEN_MAX = 32 /* bytes of a token's text with its NUL */
};

/** Write token @p k of the answer to @p prompt. */
void token_text(char *buf, size_t size, const char *prompt, uint32_t k);
/**
 * A prompt that ends in "#N" has an answer of N tokens; otherwise its hash
 * determines the number.
 * @return the number of tokens of the answer, at most @p max_tokens.
 */
uint32_t token_count(const char *prompt, uint32_t max_tokens);

#endif
