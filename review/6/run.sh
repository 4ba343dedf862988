#!/usr/bin/env bash
# Plays the case of this folder, up to 12 times, three at a time, until the rule is broken: what the
# nodes do at a time of their own can't be set. Exits with 1 if the rule was broken, 0 if it held, 2 if
# it couldn't run. TROUBLE=0 plays it three times without the disruption.
cd "$(dirname "$0")/../.."
folder="$PWD/review/6"
[ -x target/review-2/successor ] || { echo "run review/build-2.sh first" >&2; exit 2; }
export CASE_ROOT="$PWD"
temp=$(mktemp -d /tmp/celeryramp-case-XXXXXX)
trap 'rm -rf "$temp"' EXIT
: > "$folder/record.txt"
result=0
for round in 1 2 3 4; do
    plays=()
    for play in 1 2 3; do
        mkdir -p "$temp/$round-$play"
        CASE_FOLDER="$temp/$round-$play" timeout -k 2 25 target/review-2/successor &
        plays+=($!)
    done
    for play in 1 2 3; do
        wait "${plays[play - 1]}"
        code=$?
        { echo "== play $round-$play"; cat "$temp/$round-$play/record.txt"; } >> "$folder/record.txt"
        if [ $code = 1 ]; then
            result=1
        elif [ $code != 0 ] && [ $result = 0 ]; then
            result=2
        fi
    done
    if [ $result != 0 ] || [ "${TROUBLE:-}" = 0 ]; then
        break
    fi
done
exit $result
