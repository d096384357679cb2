/*
 * The exclusive duty of internal/zpduty: daemons acquire, renew and release a
 * lease in one stored object, act while they hold it, and may pause at any time.
 * A write may take effect at any time after it was sent, even if its sender no
 * longer waits for the response.
 *
 * Mutants:
 *   NO_TURN       a successor does not wait for TURN after the lease has expired
 *                 or was released
 *   FROM_ANSWER   a holder counts the validity from the response to its write,
 *                 not from the time it was sent
 *   KEEP_RELEASED a holder continues to act until its release is confirmed
 *   NO_CONDITION  writes are unconditional
 */
#define DAEMONS 2
#define VALIDITY 2
#define TURN 2
#define END 5
/* Limits the number of writes, so that no revision is reused. */
#define WRITES 3
#define NOBODY 9

byte now = 0;

/* The stored lease object. */
byte revision = 0;
byte holder = NOBODY;
bool released = false;

/* The write in flight of each daemon, at most one. */
bool sent[DAEMONS];
bool sent_release[DAEMONS];
byte sent_revision[DAEMONS];
byte sent_at[DAEMONS];

/* Local state of each daemon. */
bool waiting[DAEMONS];
bool answered[DAEMONS]; /* the response is in flight */
byte answer[DAEMONS];   /* revision in the response */
bool looked[DAEMONS];
byte seen_revision[DAEMONS];
byte seen_holder[DAEMONS] = NOBODY;
bool seen_released[DAEMONS];
byte since[DAEMONS];
byte held_until[DAEMONS];

byte last_actor = NOBODY;
byte last_act = 0;
bool ok = true;

#ifdef NO_CONDITION
#define unchanged(i) true
#else
#define unchanged(i) (sent_revision[i] == revision)
#endif

#ifdef NO_TURN
#define turn 0
#else
#define turn TURN
#endif

#ifdef FROM_ANSWER
#define valid_from(i) now
#else
#define valid_from(i) sent_at[i]
#endif

/* Resets variables that no longer matter, so that spin merges equivalent states. */
#define forget(i) \
    looked[i] = false; since[i] = 0; seen_revision[i] = 0; seen_holder[i] = NOBODY; seen_released[i] = false

#define holds(i) (now < held_until[i])
#define may_take(i) (looked[i] && (seen_revision[i] == 0 || seen_holder[i] == i \
    || (seen_released[i] && now - since[i] >= turn) \
    || (!seen_released[i] && now - since[i] >= VALIDITY + turn)))

inline send(i, release) {
    sent[i] = true;
    sent_release[i] = release;
    sent_revision[i] = seen_revision[i];
    sent_at[i] = now;
    waiting[i] = true
}

inline see(i) {
    if
    :: !looked[i] || seen_revision[i] != revision -> since[i] = now
    :: else
    fi;
    looked[i] = true;
    seen_revision[i] = revision;
    seen_holder[i] = holder;
    seen_released[i] = released
}

active proctype clock() {
    do
    :: atomic { now < END -> now++ }
    :: now >= END -> break
    od
}

active [DAEMONS] proctype daemon() {
    byte i = _pid - 1;
    do
    :: now >= END -> break
    /* Read the object. */
    :: atomic { !waiting[i] && !holds(i) && !(looked[i] && seen_revision[i] == revision) -> see(i) }
    /* Acquire or renew the lease. */
    :: atomic { revision < WRITES && !sent[i] && !waiting[i] && !holds(i) && may_take(i) -> send(i, false) }
    :: atomic { revision < WRITES && !sent[i] && !waiting[i] && holds(i) && sent_at[i] < now -> send(i, false) }
    /* Release the lease. */
    :: atomic { revision < WRITES && !sent[i] && !waiting[i] && holds(i) -> send(i, true);
#ifndef KEEP_RELEASED
           held_until[i] = 0
#endif
       }
    /* The write takes effect. */
    :: atomic { sent[i] && unchanged(i) ->
           sent[i] = false;
           sent_revision[i] = 0;
           revision++;
           holder = i;
           released = sent_release[i];
           answered[i] = waiting[i];
           answer[i] = revision
       }
    /* The response arrives. */
    :: atomic { answered[i] ->
           answered[i] = false;
           waiting[i] = false;
           since[i] = now;
           looked[i] = true;
           seen_revision[i] = answer[i];
           answer[i] = 0;
           seen_holder[i] = i;
           seen_released[i] = sent_release[i];
           if
           :: sent_release[i] -> held_until[i] = 0
           :: else -> held_until[i] = valid_from(i) + VALIDITY
           fi
       }
    /* The write fails its condition or is lost. */
    :: atomic { sent[i] && !unchanged(i) -> sent[i] = false; sent_revision[i] = 0; waiting[i] = false; forget(i) }
    /* The daemon stops waiting for the response. */
    :: atomic { waiting[i] -> waiting[i] = false; answered[i] = false; answer[i] = 0; forget(i) }
    /* Perform the duty. */
    :: atomic { holds(i) && !(last_actor == i && last_act == now) ->
           if
           :: last_actor != NOBODY && last_actor != i && now - last_act < TURN -> ok = false
           :: else
           fi;
           last_actor = i;
           last_act = now
       }
    od
}

ltl one_at_a_time { [] ok }
