#!/bin/sh
# Plays a case with the stand-in of this review: run-case-3.sh CASE FOLDER.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
case_name=$1
folder=$2
root=$(cd "$(dirname "$0")/.." && pwd)
gateway="$root/target/release/lagoonlift-gateway"
standin="$root/target/review-3/release/standin-3"
[ -x "$gateway" ] && [ -x "$standin" ] || { echo "build the gateway and review/build-3.sh first"; exit 2; }
work=$(mktemp -d) || exit 2
player=
clean_up() {
    [ -n "$player" ] && kill "$player" 2>/dev/null && wait "$player" 2>/dev/null
    # Gateways that the stand-in left running because it was stopped itself.
    if [ -f "$work/pids" ]; then
        while read -r pid; do
            [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$gateway" ] && kill -9 "$pid" 2>/dev/null
        done < "$work/pids"
    fi
    rm -rf "$work"
}
trap clean_up EXIT
trap 'exit 2' INT TERM
cd "$root" || exit 2
timeout 115 "$standin" "$case_name" "$gateway" "$work" "$folder/record.txt" &
player=$!
wait "$player"
code=$?
player=
case $code in
    0 | 1) exit "$code" ;;
    *) exit 2 ;;
esac
