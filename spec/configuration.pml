/*
 * Configuration: operators that race, daemons that hear of versions late and in
 * any order, and a daemon that decides whether it may take new work. age counts
 * the steps of time since the state that a proof speaks of.
 *
 * Mutants:
 *   ANY_VERSION   a lower version is applied
 *   NO_CONDITION  operators write without a condition
 *   YOUNG_PROOF   a proof passed on counts from its arrival
 */
#define MAX_AGE 2
#ifndef END
#define END     7
#endif

#ifdef ANY_VERSION
#define newer true
#else
#define newer (message_version[slot] >= applied)
#endif
#ifdef NO_CONDITION
#define unchanged true
#else
#define unchanged (version == seen)
#endif
#ifdef YOUNG_PROOF
#define proof_from now
#else
#define proof_from message_fresh[slot]
#endif

byte now = 0;
byte version = 1;       /* at the platform */
byte changed_at = 0;    /* when it last changed */
byte accepted = 0;      /* changes that operators were told of */
byte applied = 1;       /* in force at the daemon */
byte fresh_at = 0;
bool reverted = false;
bool late_work = false;

/* Two messages of the relay on their way: a version and when it was read. */
byte message_version[2] = 1;
byte message_fresh[2] = 0;

active proctype clock() {
    do
    :: now < END -> now++
    :: now == END -> break
    od
}

active [2] proctype operator() {
    byte seen = version;
    atomic {
        if
        :: unchanged -> version = seen + 1; changed_at = now; accepted++
        :: else -> skip /* told to begin anew */
        fi
    }
}

/* A watcher reads; its message may wait for any time. */
active proctype watcher() {
    do
    :: now < END -> atomic { message_version[0] = version; message_fresh[0] = now }
    :: now < END -> atomic { message_version[1] = version; message_fresh[1] = now }
    :: now == END -> break
    od
}

active proctype daemon() {
    byte slot;
    do
    :: now < END ->
        if
        :: slot = 0
        :: slot = 1
        fi;
        if
        :: atomic {
               newer ->
               if
               :: message_version[slot] < applied -> reverted = true
               :: else -> skip
               fi;
               applied = message_version[slot];
               fresh_at = (proof_from > fresh_at -> proof_from : fresh_at)
           }
        /* New work is taken with a proof that is young enough. */
        :: atomic {
               now <= fresh_at + MAX_AGE ->
               if
               :: applied < version && now > changed_at + MAX_AGE -> late_work = true
               :: else -> skip
               fi
           }
        :: skip
        fi
    :: now == END -> break
    od
}

ltl never_reverts   { [] (!reverted) }
ltl no_late_work    { [] (!late_work) }
ltl no_lost_change  { [] (version == 1 + accepted) }
