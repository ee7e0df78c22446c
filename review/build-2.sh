#!/usr/bin/env bash
# Builds the callers, servers and the store that the scripts of cases 6 and later start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -trimpath -o target/review-2/scenes ./review/scenes
