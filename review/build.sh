#!/bin/sh
# Builds the stand-ins of the review's scripts: one program, which serves as platform, servers
# and clients.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
