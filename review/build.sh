#!/bin/sh
# Builds the stand-ins of the review's cases into review/bin. They use Go's standard library alone.
set -e
cd "$(dirname "$0")/standins"
GOFLAGS=-mod=mod GOWORK=off GOTOOLCHAIN=local CGO_ENABLED=0 go build -o ../bin/standins .
