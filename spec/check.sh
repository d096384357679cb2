#!/bin/sh
# Model-checks the specifications over their full state spaces with spin, and
# checks that each mutant violates the property that it is meant to break.
set -eu
cd "$(dirname "$0")"
mkdir -p out
failed=0

# check MODEL PROPERTY EXPECTED [MUTANT [CONSTANTS]]
check() {
    dir=out/$1-$2-${4:-none}-${5:-}
    mkdir -p "$dir"
    (
        cd "$dir"
        spin -a ${4:+-D$4} ${5:+-D$5} "../../$1.pml" >spin.txt 2>&1
        gcc -O2 -o pan pan.c 2>gcc.txt
        ./pan -a -m500000 -N "$2" >pan.txt 2>&1 || true
    )
    verdict=incomplete
    if grep -q 'errors: 0' "$dir/pan.txt" && ! grep -qE 'out of memory|max search depth too small|not completed' "$dir/pan.txt"; then
        verdict=holds
    elif grep -qE 'errors: [1-9]' "$dir/pan.txt"; then
        verdict=violated
    fi
    states=$(sed -n 's/^ *\([0-9.e+]*\) states, stored.*/\1/p' "$dir/pan.txt" | head -n 1)
    result=ok
    if [ "$verdict" != "$3" ]; then
        result=WRONG
        failed=1
    fi
    echo "$result  $1 ${4:-} ${5:-} $2: $verdict (expected $3), ${states:-?} states"
}

check ownership never_too_many holds
check ownership never_too_many violated NO_LAPSE
check ownership never_too_many violated NO_PROMISE
check ownership never_too_many holds '' LONG_START
check ownership never_too_many violated NO_COUNT LONG_START
check ownership never_too_many violated NO_GATE
check claim at_most_once holds
check claim at_most_once violated NO_READ_BACK
check claim at_most_once violated NO_CONDITION
check claim at_most_once violated RELEASE_RAN
check configuration never_reverts holds
check configuration never_reverts violated ANY_VERSION
check configuration no_late_work holds
check configuration no_late_work violated YOUNG_PROOF
check configuration no_lost_change holds
check configuration no_lost_change violated NO_CONDITION
check duty one_at_a_time holds
check duty one_at_a_time violated NO_TURN
check duty one_at_a_time violated FROM_ANSWER
check duty one_at_a_time violated KEEP_RELEASED
check duty one_at_a_time violated NO_CONDITION
check duty one_at_a_time holds '' RESTORE
check duty one_at_a_time violated NO_FENCE_ERA RESTORE
check duty one_at_a_time violated NO_ERA_WAIT RESTORE
check duty one_at_a_time violated NO_RECORD_ERA RESTORE
exit $failed
