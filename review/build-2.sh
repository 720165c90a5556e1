#!/usr/bin/env bash
# Builds what the scripts of the second review start beside the gateway.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-rig ./review/rig
