#!/usr/bin/env bash
# Plays the case; TROUBLE=0 plays it without its disruption. Exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
exec node case.mjs
