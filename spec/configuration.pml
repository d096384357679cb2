/*
 * Configuration: concurrent operators, versions that reach a daemon late and in
 * any order, and a daemon that decides whether it may accept new work. A proof of
 * freshness carries the time at which the version was read at the platform; its
 * age is the number of time steps since then.
 *
 * Mutants:
 *   ANY_VERSION   a daemon applies a version lower than its current one
 *   NO_CONDITION  operators write unconditionally
 *   YOUNG_PROOF   the age of a relayed proof counts from its arrival
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
byte version = 1;       /* current version at the platform */
byte changed_at = 0;    /* time of its last change */
byte accepted = 0;      /* changes confirmed to operators */
byte applied = 1;       /* version applied at the daemon */
byte fresh_at = 0;
bool reverted = false;
bool late_work = false;

/* Two relay messages in flight, each with a version and the time it was read. */
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
        :: else -> skip /* conflict: the operator has to start over */
        fi
    }
}

/* Reads the platform; its messages may be delayed for any time. */
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
        /* New work is accepted only with a proof of at most MAX_AGE. */
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
