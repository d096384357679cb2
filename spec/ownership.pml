/*
 * Ownership: lease, takeover and reservation, with lost answers, pauses, an
 * outage of the platform and promises of the monitor.
 *
 * Time is a counter of ticks. Each daemon acts at its own pace; a pause is any
 * run of ticks in which it does nothing. A lease lasts DURATION, the observer
 * waits a MARGIN longer and then for the next tick, and a reservation must begin
 * within START. The endpoint bears LIMIT runs; runs do not
 * end, which is the worst case for the limit.
 *
 * Mutants, each switched on by a -D option:
 *   NO_LAPSE    a monitor ends a lease without waiting for it to lapse
 *   NO_PROMISE  a monitor ends a lease although it has promised not to
 *   NO_COUNT    a new owner does not wait for its predecessor's reservations
 *   NO_GATE     an asker starts without a look at the deadline
 */

/* LONG_START makes START longer than the lease, otherwise it is shorter. */
#ifdef LONG_START
#define DURATION 1
#define MARGIN   0
#define START    3
#else
#define DURATION 2
#define MARGIN   1
#define START    1
#endif
#define LIMIT    1
#ifndef END
#define END      7
#endif

#ifdef NO_LAPSE
#define lapsed true
#else
#define lapsed (now > seen_since + DURATION + MARGIN)
#endif
#ifdef NO_PROMISE
#define may_end true
#else
#define may_end (now >= no_end_before)
#endif
#ifdef NO_COUNT
#define reservations_over true
#else
#define reservations_over (now >= taken_at + START)
#endif
#ifdef NO_GATE
#define in_time true
#else
#define in_time (now < pending_deadline)
#endif
#define holds_lease (now < valid_until || now < promised_until)
#define count_run running++; max_running = (running > max_running -> running : max_running)

byte now = 0;
bool platform_up = true;

/* The lease object of the first owner. */
bool lease_changed = false; /* since the monitor last read it */
bool lease_ended = false;

/* What the first owner knows of its own lease. */
byte valid_until = DURATION;
byte promised_until = 0;

/* What the monitor knows. */
byte seen_since = 0;
byte no_end_before = 0;
byte taken_at = 0;
bool counted = false;
byte granted = 0;

/* One reservation granted and not begun, with its deadline; and all runs. */
bool pending = false;
byte pending_deadline = 0;
byte running = 0;
byte max_running = 0;

active proctype clock() {
    do
    :: now < END -> now++
    :: now == END -> break
    od
}

/* One outage, of any length. */
active proctype outage() {
    platform_up = false;
    platform_up = true
}

/* The first owner. started is when it sent a call, whose effect comes later. */
active proctype first_owner() {
    byte started;
    do
    :: now < END ->
        started = now;
        if
        :: atomic {
               platform_up && !lease_ended ->
               lease_changed = true;
               if
               :: valid_until = started + DURATION
               :: skip /* the answer is lost */
               fi
           }
        :: atomic {
               !lease_ended ->
               no_end_before = now + DURATION;
               promised_until = started + DURATION
           }
        :: atomic {
               holds_lease && !pending && running < LIMIT ->
               pending = true;
               pending_deadline = now + START
           }
        fi;
        started = 0
    :: now == END -> break
    od
}

/* The daemon with the caller: the gate before the first byte. */
active proctype asker() {
    do
    :: atomic { pending && in_time -> pending = false; pending_deadline = 0; count_run }
    :: atomic { pending && !in_time -> pending = false; pending_deadline = 0 }
    :: now == END -> break
    od
}

/* The monitor, which becomes the successor. */
active proctype successor() {
    do
    :: atomic {
           platform_up && lease_changed && !lease_ended ->
           lease_changed = false;
           seen_since = now
       }
    :: atomic {
           platform_up && !lease_ended && !lease_changed && lapsed && may_end ->
           lease_ended = true;
           seen_since = 0;
           no_end_before = 0;
           taken_at = now
       }
    :: atomic {
           lease_ended && !counted && reservations_over ->
           counted = true;
           taken_at = 0;
           granted = running
       }
    :: atomic {
           counted && granted < LIMIT ->
           granted++;
           count_run
       }
    :: now == END -> break
    od
}

ltl never_too_many { [] (max_running <= LIMIT) }
