/**
 * @file token.h
 * What a stand-in engine answers to a prompt; the load tool checks with it.
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
/** Tokens of the whole answer if @p most are allowed. */
uint32_t token_count(const char *prompt, uint32_t most);

#endif
