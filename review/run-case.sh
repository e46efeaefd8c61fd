#!/bin/sh
# Runs one case: run-case.sh CASE FOLDER. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case couldn't run. Ends what the stand-in has started, also if that is
# ended itself. With TROUBLE=0 the disruption is left out.
cd "$(dirname "$0")/.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] && [ -x target/release/lagoonlift-gateway ] || exit 2
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
child=
end_all() {
    [ -z "$child" ] || kill "$child" 2>/dev/null
    for pid in $(cat "$REVIEW_PIDS"); do
        if grep -q lagoonlift-gateway "/proc/$pid/cmdline" 2>/dev/null; then
            kill -KILL "$pid" 2>/dev/null
        fi
    done
    rm -f "$REVIEW_PIDS"
}
trap 'end_all; exit 2' INT TERM HUP
"$standin" "$1" "$2" &
child=$!
wait "$child"
status=$?
child=
end_all
[ "$status" -le 2 ] || exit 2
exit "$status"
