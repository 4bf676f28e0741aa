# Runs the program of the case in whose folder it is called. To be sourced.
set -u
cd "$(dirname "$0")" || exit 2
export PROGRAM="$PWD/../../target/bin/dragonflyglade"
program="$PWD/../../target/review-2/case-$(basename "$PWD")"
[ -x "$PROGRAM" ] && [ -x "$program" ] || exit 2
"$program"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
