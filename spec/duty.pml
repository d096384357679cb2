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
 *
 * With RESTORE, the store comes back once from an older copy, which is empty or has the
 * first write: what was written since is lost, its revisions are given out again, and the
 * era rises. A write that was sent before may take effect after it. Daemons learn of the
 * era from any response, or from others. Leases are not released, and fencing tokens must
 * rise from holder to holder.
 * Mutants:
 *   NO_FENCE_ERA  the fencing token is the revision alone
 *   NO_ERA_WAIT   the next holder does not wait for one that does not know of the later era
 *   NO_RECORD_ERA the record does not name the era of its writer
 */
#define DAEMONS 2
#ifdef RESTORE
#define VALIDITY 1
#define TURN 1
#define END 3
/* Renewals at any time, as a lease lasts one step. */
#define may_renew(i) true
/* Limits the number of writes in each era, so that no revision is reused within it. */
#define WRITES(i) (2 + known_era[i])
/* Giving up before the write takes effect stands for a lost response. */
#define may_give_up(i) (!answered[i])
#else
#define VALIDITY 2
#define TURN 2
#define END 5
#define may_renew(i) (sent_at[i] < now)
#define may_give_up(i) true
#define WRITES(i) 3
#endif
#define NOBODY 9

byte now = 0;

/* The stored lease object. */
byte revision = 0;
byte holder = NOBODY;
bool released = false;
byte written_era = 0; /* that the writer believed in */
byte era = 0;

/* The copy from which the store comes back. */
byte copy_revision = 0;
byte copy_holder = NOBODY;
bool copy_released = false;

/* The write in flight of each daemon, at most one. */
bool sent[DAEMONS];
bool sent_release[DAEMONS];
byte sent_revision[DAEMONS];
byte sent_at[DAEMONS];
byte sent_era[DAEMONS];

/* Local state of each daemon. */
bool waiting[DAEMONS];
bool answered[DAEMONS]; /* the response is in flight */
byte answer[DAEMONS];   /* revision in the response */
bool looked[DAEMONS];
byte seen_revision[DAEMONS];
byte seen_holder[DAEMONS] = NOBODY;
bool seen_released[DAEMONS];
byte since[DAEMONS];
byte seen_era[DAEMONS];  /* of the stored record */
byte known_era[DAEMONS];
byte known_since[DAEMONS];
byte held_until[DAEMONS];
byte fence[DAEMONS];

byte last_actor = NOBODY;
byte last_act = 0;
byte last_fence = 0;
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

#ifdef NO_FENCE_ERA
#define token(i) answer[i]
#else
#define token(i) (known_era[i] * 4 + answer[i])
#endif

/* A holder of an earlier era may act until its lease has expired. */
#ifdef NO_ERA_WAIT
#define era_over(i) true
#else
#define era_over(i) (known_era[i] == 0 || now - known_since[i] >= VALIDITY + turn)
#endif

#ifdef NO_RECORD_ERA
#define is_current(i) true
#else
#define is_current(i) (seen_era[i] == known_era[i])
#endif

/* Resets variables that no longer matter, so that spin merges equivalent states. */
#define forget(i) \
    looked[i] = false; since[i] = 0; seen_revision[i] = 0; seen_holder[i] = NOBODY; seen_released[i] = false; seen_era[i] = 0

#define holds(i) (now < held_until[i])
#define may_take(i) (looked[i] && ( \
    (seen_revision[i] == 0 && era_over(i)) \
    || (seen_revision[i] != 0 && is_current(i) && seen_holder[i] == i) \
    || (seen_revision[i] != 0 && is_current(i) && seen_released[i] && now - since[i] >= turn) \
    || (seen_revision[i] != 0 && (is_current(i) || era_over(i)) && now - since[i] >= VALIDITY + turn)))

inline send(i, release) {
    sent[i] = true;
    sent_release[i] = release;
    sent_revision[i] = seen_revision[i];
    sent_at[i] = now;
    sent_era[i] = known_era[i];
    waiting[i] = true
}

/* The daemon no longer waits for a response. */
inline settle(i) {
    waiting[i] = false;
    if
    :: !sent[i] -> sent_era[i] = 0
    :: else
    fi;
#ifdef RESTORE
    sent_at[i] = 0
#endif
}

inline learn(i) {
    if
    :: known_era[i] != era ->
        known_era[i] = era;
        known_since[i] = now;
        held_until[i] = 0;
        forget(i);
        if
        :: answered[i] -> answered[i] = false; answer[i] = 0; settle(i)
        :: else
        fi
    :: else
    fi
}

inline see(i) {
    learn(i);
    if
    :: !looked[i] || seen_revision[i] != revision -> since[i] = now
    :: else
    fi;
    looked[i] = true;
    seen_revision[i] = revision;
    seen_holder[i] = holder;
    seen_released[i] = released;
    seen_era[i] = written_era
}

/* Resets what no longer matters after a step of the clock. */
inline expire(i) {
    if
    :: held_until[i] <= now -> held_until[i] = 0; fence[i] = 0
    :: else
    fi;
    if
    :: known_since[i] < now - VALIDITY - TURN -> known_since[i] = 0
    :: else
    fi
}

active proctype clock() {
    do
    :: atomic { now < END -> now++;
#ifdef RESTORE
           expire(0);
           expire(1);
           last_act = (now - last_act > TURN -> now - TURN : last_act)
#endif
       }
    :: now >= END -> break
    od
}

active [DAEMONS] proctype daemon() {
    byte i = _pid - 1;
    do
    :: now >= END -> break
    /* Read the object. */
    :: atomic { !waiting[i] && !holds(i) && !(looked[i] && seen_revision[i] == revision && known_era[i] == era) -> see(i) }
    /* Acquire or renew the lease. */
    :: atomic { revision < WRITES(i) && !sent[i] && !waiting[i] && !holds(i) && may_take(i) -> send(i, false) }
    :: atomic { revision < WRITES(i) && !sent[i] && !waiting[i] && holds(i) && may_renew(i) -> send(i, false) }
#ifndef RESTORE
    /* Release the lease. */
    :: atomic { revision < WRITES(i) && !sent[i] && !waiting[i] && holds(i) -> send(i, true);
#ifndef KEEP_RELEASED
           held_until[i] = 0
#endif
       }
#endif
    /* The write takes effect. */
    :: atomic { sent[i] && unchanged(i) ->
           sent[i] = false;
           sent_revision[i] = 0;
           revision++;
           holder = i;
           released = sent_release[i];
           written_era = sent_era[i];
           /* The response of another era than that of the write confirms nothing. */
           if
           :: waiting[i] && sent_era[i] == era -> answered[i] = true; answer[i] = revision
           :: waiting[i] && sent_era[i] != era -> settle(i); forget(i)
           :: else -> sent_era[i] = 0
           fi
       }
    /* The response arrives. */
    :: atomic { answered[i] ->
           answered[i] = false;
           since[i] = now;
           looked[i] = true;
           seen_revision[i] = answer[i];
           seen_holder[i] = i;
           seen_released[i] = sent_release[i];
           seen_era[i] = sent_era[i];
           if
           :: sent_release[i] -> held_until[i] = 0
           :: else ->
#ifdef RESTORE
               if
               :: sent_at[i] >= held_until[i] -> fence[i] = token(i)
               :: else
               fi;
#endif
               held_until[i] = valid_from(i) + VALIDITY
           fi;
           answer[i] = 0;
           settle(i)
       }
#ifdef RESTORE
    /* Another daemon tells of the era. */
    :: atomic { known_era[i] != era && (waiting[i] || holds(i)) -> learn(i) }
#endif
    /* The write fails its condition or is lost. */
    :: atomic { sent[i] && !unchanged(i) -> sent[i] = false; sent_revision[i] = 0; settle(i); forget(i) }
    /* The daemon stops waiting for the response. */
    :: atomic { waiting[i] && may_give_up(i) -> answered[i] = false; answer[i] = 0; settle(i); forget(i) }
    /* Perform the duty. */
    :: atomic { holds(i) && !(last_actor == i && last_act == now) ->
           if
           :: last_actor != NOBODY && last_actor != i && now - last_act < TURN -> ok = false
#ifdef RESTORE
           :: last_actor != NOBODY && last_actor != i && fence[i] <= last_fence -> ok = false
#endif
           :: else
           fi;
           last_actor = i;
           last_act = now;
#ifdef RESTORE
           last_fence = fence[i]
#endif
       }
    od
}

#ifdef RESTORE
active proctype store() {
    if
    :: atomic { revision == 1 -> copy_revision = revision; copy_holder = holder; copy_released = released }
    :: true
    fi;
    atomic {
        era++;
        revision = copy_revision;
        holder = copy_holder;
        released = copy_released;
        written_era = 0;
        copy_revision = 0;
        copy_holder = NOBODY;
        copy_released = false
    }
}
#endif

ltl one_at_a_time { [] ok }
