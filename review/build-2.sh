#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/6 start; it runs after
# the build of the deploy file, which installs the libraries.
set -eu
cd "$(dirname "$0")/.."
npm run --silent build
