#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The program itself is built by the
# command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d node_modules ] || npm ci --silent
npm run --silent build
