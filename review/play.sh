#!/bin/sh
# play.sh NAME FOLDER: plays a case. Called by the run.sh of each case.
review=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$review/.." && pwd)
program="$review/standins/target/release/review-case"
[ -x "$program" ] && [ -x "$root/target/release/madderpoint" ] || { echo "not built"; exit 2; }
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
driver=
clean_up() {
    [ -z "$driver" ] || kill -9 "$driver" 2>/dev/null
    # Processes that the program could not end itself.
    [ ! -f "$TMPDIR/pids" ] || while read -r pid; do
        [ "$(cat "/proc/$pid/comm" 2>/dev/null)" != madderpoint ] || kill -9 "$pid"
    done <"$TMPDIR/pids"
    rm -rf "$TMPDIR"
}
trap 'clean_up; exit 2' INT TERM HUP
"$program" "$1" "$root" "$2" "${TROUBLE:-1}" &
driver=$!
wait "$driver"
status=$?
driver=
clean_up
[ "$status" -le 1 ] || status=2
exit "$status"
