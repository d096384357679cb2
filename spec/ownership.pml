/*
 * Ownership: lease, takeover and reservation, with lost responses, pauses, an
 * outage of the platform, and promises of the monitor not to end the lease.
 *
 * Time is a tick counter. Daemons run asynchronously; a pause is a sequence of
 * ticks in which a daemon takes no step. A lease lasts DURATION. The monitor waits
 * MARGIN longer and then for the next tick. A reserved run must start within
 * START. The endpoint allows LIMIT concurrent runs; runs never end, which is the
 * worst case for the limit.
 *
 * Mutants, each enabled by a -D option:
 *   NO_LAPSE    the monitor ends a lease without waiting for it to expire
 *   NO_PROMISE  the monitor ends a lease although it promised not to
 *   NO_COUNT    a new owner does not wait until the reservations of its
 *               predecessor have started or expired
 *   NO_GATE     a caller starts a run without checking the deadline
 */

/* START is longer than the lease with LONG_START, and shorter without. */
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
bool lease_changed = false; /* since the last read by the monitor */
bool lease_ended = false;

/* Local state of the first owner. */
byte valid_until = DURATION;
byte promised_until = 0;

/* Local state of the monitor. */
byte seen_since = 0;
byte no_end_before = 0;
byte taken_at = 0;
bool counted = false;
byte granted = 0;

/* The reservation that was granted but not started, its deadline, and the runs. */
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

/* One outage of any duration. */
active proctype outage() {
    platform_up = false;
    platform_up = true
}

/* The first owner. started is the time it sent a call, which takes effect later. */
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
               :: skip /* the response is lost */
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

/* The caller's daemon, which checks the deadline before it sends the first byte. */
active proctype asker() {
    do
    :: atomic { pending && in_time -> pending = false; pending_deadline = 0; count_run }
    :: atomic { pending && !in_time -> pending = false; pending_deadline = 0 }
    :: now == END -> break
    od
}

/* The monitor, which becomes the next owner. */
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
