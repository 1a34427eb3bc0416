#!/bin/sh
# Builds the program of the review's cases: stand-ins for callers, upstreams, the
# operator and the network. The system itself is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
