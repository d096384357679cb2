/*
 * Claims: daemons claim the same Idempotency-Key concurrently, with lost
 * responses and an outage of the platform. The platform may apply a conditional
 * update at any time after it was sent, even if the response is lost.
 *
 * Mutants:
 *   NO_READ_BACK  after a lost response the daemon assumes that it holds the
 *                 claim, without reading it back
 *   NO_CONDITION  the update is unconditional
 *   RELEASE_RAN   a claim is released although its request may have run
 */
#define CLAIMERS 3

#ifdef NO_CONDITION
#define unchanged true
#else
#define unchanged (revision == seen)
#endif

bool platform_up = true;
byte revision = 0;
byte holder = 0;
byte runs = 0;

active proctype outage() {
    platform_up = false;
    platform_up = true
}

proctype claimer(byte token) {
    byte tries = 0;
    byte seen;
    byte found;
    bool mine = false;
    do
    :: tries < 2 && !mine ->
        tries++;
        /* Read the claim shard. */
        if
        :: atomic { platform_up -> seen = revision; found = holder }
        :: atomic { !platform_up -> break }
        fi;
        if
        :: found == token -> mine = true
        :: found != 0 && found != token -> break
        :: found == 0 ->
            /* Write the claim with a conditional update. */
            if
            :: atomic { platform_up && unchanged ->
                   revision++;
                   holder = token;
                   if
                   :: mine = true
                   :: skip /* the response is lost: read the claim back */
                   fi
               }
            :: atomic { platform_up && !unchanged -> skip }
            :: atomic { !platform_up -> break }
            fi
#ifdef NO_READ_BACK
            ; mine = true
#endif
        fi
    :: else -> break
    od;
    if
    :: mine ->
        if
        :: runs++
#ifdef RELEASE_RAN
           ; atomic { holder = 0; revision++ }
#endif
        /* The request was never sent: release the claim. */
        :: atomic { holder == token -> holder = 0; revision++ }
        fi
    :: else -> skip
    fi
}

init { atomic { run claimer(1); run claimer(2); run claimer(3) } }

ltl at_most_once { [] (runs <= 1) }
