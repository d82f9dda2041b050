#!/bin/sh
# A keyed request whose run waits for disk runs twice after a break of the kernel's link.
# TROUBLE=0 leaves the disruption out. Needs the build of deploy/balancer.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for program in bin/umberwinch bin/umberctl bin/review-2; do
	[ -x "$program" ] || { echo "can't run: $program is not built"; exit 2; }
done
exec bin/review-2 run-twice review/6
