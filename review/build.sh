#!/usr/bin/env bash
# Builds the stand-ins of all scripted cases. Needs no network beyond the modules of go.mod.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/rig ./review/rig
