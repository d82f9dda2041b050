#!/bin/sh
# Builds the stand-ins of the second review's cases into bin/, after the build of deploy/balancer.toml.
cd "$(dirname "$0")/.." || exit 2
mkdir -p bin && go build -o bin/review-2 ./review/_standins-2
