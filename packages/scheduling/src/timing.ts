/**
Time limits that keep a task from running twice at once, milliseconds.

A caller that loses its connection resubmits its job after 1,300 ms, to any host. By then every run of the first copy of
the job has to be over:

- An entry sends tasks to a scheduler under a claim. It renews the claim by listing it in its answer (`keep`) to each
  state message of the scheduler. A scheduler stops the tasks of a claim `entrySilenceMs`, on its own clock, after it
  sent the last state that the entry answered.
- A scheduler that dies renews no more leases: its runs end within `leaseMs` of the last renewal.
- If both fail at once, the two times must not add up. So leases of executors that run tasks of a claim are renewed no
  further than `entrySilenceMs + stopMarginMs` after that state.
- An entry that receives no state from a scheduler can't renew claims there, and counts the same time from the last
  state that it read.
*/

/** Length of an executor's lease after a renewal. */
export const leaseMs = 700;
/** Executors shorten a longer lease to this, on their own clocks. */
export const longestLeaseMs = 1000;
/**
How long a renewal waits at the executor for the end of a run, at most. Leaves time for two more tries within the
lease.
*/
export const maxRenewWaitMs = 200;
/** Shortest wait of a renewal: limits how often renewals are sent while runs are overdue. */
export const minRenewWaitMs = 60;
/**
A renewal waits for this many times a run's estimate: most runs have ended by then, so their ends need no further
call.
*/
export const renewWaitFactor = 1.5;
/** Interval between the reports that an idle executor is asked for, to learn its clock and that it is alive. */
export const idleReportIntervalMs = 1000;
/** A claim that was not renewed for this long ends: the answers to four state messages are missing. */
export const entrySilenceMs = 850;
/** Time for a claim's stops to be carried out before the lease, limited by that claim, ends. */
export const stopMarginMs = 150;
/** An executor carries out a stop within this time. */
export const stopLimitMs = 50;
/** How long tasks of a claim may still run, counted from the last state message that the entry answered. */
export const orphanLimitMs = entrySilenceMs + stopMarginMs;
/**
How long the runs of a silent entry may go on after they should have been stopped, if the stop is not answered. Together
with `entrySilenceMs` and the interval between two checks of it, they are over before callers resubmit their jobs.
*/
export const orphanStopLimitMs = 300;
/**
The same for runs that are stopped for another reason: the caller of a job that was given up resubmits it after
1,300 ms.
*/
export const dropStopLimitMs = 1000;
/**
A run that an earlier holder started is stopped if no entry claims it within this time after it was found. The entry may
have died with that holder. The lease under which the run was found ends at most `orphanLimitMs` after the entry's
last answer; that, this time and a stop add up to less than the time after which the caller resubmits. A live entry
sends its parts within one message exchange.
*/
export const claimLimitMs = 200;
/**
Entries answer the first state of a new holder within this time: one exchange between data centres, and a busy host's
pause.
*/
export const entryAnswerLimitMs = 100;
/** Allowance for two clocks that differ by 2% over the longest time limit here, and for a late timer. */
export const clockSlackMs = 60;
/** Longest time-out of a call to an executor: 20 round trips between data centres, and a busy host's pause. */
export const maxCallTimeoutMs = 150;
/**
A holder sends its state this often, and at once when the group changes hands. Four states fit into the silence after
which a holder is replaced.
*/
export const stateIntervalMs = 150;
/**
A holder whose state was not received for this long offers no free capacity while other groups have some: two state
messages are missing.
*/
export const stateLateMs = 375;
/** A holder whose state was not received for this long is sent no new parts: three state messages are missing. */
export const stateStaleMs = 600;
/** A group that has been silent for longer than this no longer runs any task that a reachable entry sent to it. */
export const longSilenceMs = stateStaleMs + orphanLimitMs + clockSlackMs;
