#!/usr/bin/env bash
# Case 1; see claim.txt. Exit status: 1 the rule was broken, 0 it held, 2 not run.
# TROUBLE=0 leaves out the disruption. Needs target/beamdoor-node of the deploy file's build.
cd "$(dirname "$0")" || exit 2
root=$(cd ../.. && pwd) || exit 2
[ -x "$root/target/beamdoor-node" ] || { echo "target/beamdoor-node is not built" >&2; exit 2; }
[ -x "$root/review/bin/reviewkit" ] || bash "$root/review/build.sh" || exit 2
exec "$root/review/bin/reviewkit" foreign-reply "$root" "$PWD"
