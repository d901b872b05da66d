#!/usr/bin/env bash
# a server whose entry is removed while the store turns one machine away for 0.7 s; exits with 1 if
# the rule DRAIN was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the
# disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[ -x target/review2/standin2 ] && [ -x target/banyanquayd ] || exit 2
exec target/review2/standin2 departure target/banyanquayd review/6/record.txt
