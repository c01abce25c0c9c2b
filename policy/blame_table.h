/**
 * @file blame_table.h
 * The evidence of blame.h: crashes, suspects that passed, and what is to be
 * told to other instances. For the files that implement it.
 */
#ifndef BLAME_TABLE_H
#define BLAME_TABLE_H

#include "policy/blame.h"

/** @return the last time that a call with it passed, 0: not known */
ms_t blame_passed_at(const blame_t *b, suspect_t what);
/** @return its index in the crash's suspects, -1: it is none */
int blame_find_suspect(const blame_crash_t *c, suspect_t what);
/**
 * It is no suspect of crashes before @p at any more.
 * @return the last of which it was, 0: none
 */
ms_t blame_remove_suspect(blame_t *b, suspect_t what, ms_t at);
void blame_remove_crash(blame_t *b, int i);
/**
 * Tell other instances when it passed.
 * @param crash_at they may suspect it of a crash up to then
 */
void blame_add_news(blame_t *b, suspect_t what, ms_t crash_at);

#endif
