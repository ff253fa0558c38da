#!/usr/bin/env bash
# Builds the program that plays the cases; the deploy file's build of the project comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -o target/review-rig ./review/rig
