#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
[ -x ../../target/bin/celeryramp-node ] && [ -x ../../target/review/endless_health ] || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
trap 'rm -rf "$TMPDIR"' EXIT
timeout --kill-after=5 100 ../../target/review/endless_health .
status=$?
[ $status -le 1 ] || status=2
exit $status
