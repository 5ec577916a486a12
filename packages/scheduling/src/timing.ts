/**
The clocks that keep a task from running twice at once, as named constants, milliseconds.

A caller sends a lost job again 1,300 ms after it lost its connection, at any host. All that the
first copy started has to be gone by then:

- An entry hands tasks to a scheduler under a claim, which it renews by name with its answer to each state that the scheduler
  tells. A scheduler stops the tasks of a claim `entrySilenceMs` after the state that was answered last, by its own clock.
- A scheduler that dies renews no lease: its runs end within `leaseMs` of the last renewal.
- Both at once: leases of executors that run a claim's tasks are renewed no further than
  `entrySilenceMs + stopMarginMs` after that state, so the two do not add up.
- An entry that reads no state of a scheduler can't renew anything there, and counts the same span from the last one that it read.
*/

/** How far ahead of the executor's clock a lease is renewed. */
export const leaseMs = 700;
/** How long one renewal waits at the executor for an end at most. Leaves two more tries within the lease. */
export const renewWaitMs = 200;
/** Least: renewals of runs that are overdue follow one another no faster. */
export const leastRenewWaitMs = 60;
/** Over the estimate: most runs have ended by then, so a renewal that waits until then brings an end and costs no call of its own. */
export const renewWaitFactor = 1.5;
/** An idle executor is asked this often, to know its clock and that it lives. */
export const idleLookMs = 1000;
/** A claim that was not renewed for this long has ended: the answers to four states are missing. */
export const entrySilenceMs = 850;
/** Time for stops to be carried out before the capped lease ends. */
export const stopMarginMs = 150;
/** An executor carries out a stop in this time. */
export const stopLimitMs = 50;
/** Bound on what a claim's tasks may still run, counted from the state that its entry answered last. */
export const orphanLimitMs = entrySilenceMs + stopMarginMs;
/**
Runs of a silent entry whose stop has no answer go on no longer than this after they were to be stopped: with the
silence, and the pause between two looks at it, they are gone before their callers come again.
*/
export const orphanStopMs = 300;
/** Likewise runs that are stopped for another reason: the caller of a job that was given up comes again after 1,300 ms. */
export const dropStopMs = 1000;
/**
A run of an earlier holder that no entry has claimed by then is stopped. Its entry may have died with that holder: the
lease that it was found under ends `orphanLimitMs` after the entry's last word at the latest, so that this much more,
and a stop, stay below the time after which the caller comes again. An entry that lives tells its parts within one exchange.
*/
export const claimLimitMs = 200;
/** Entries that hear of a new holder answer within this time: an exchange between data centres, and a busy host's pause. */
export const entryWordLimitMs = 100;
/** Two clocks that differ by 2% over the longest span counted here, and a timer's lateness. */
export const clockSlackMs = 60;
/** Longest time after which an order without an answer counts as unanswered: 20 round trips between data centres, and a busy host's pause. */
export const orderTimeoutMs = 150;
/** A holder tells its state this often, and at once when it changes hands. Four words fit into the silence after which a holder is replaced. */
export const stateEveryMs = 150;
/** A holder that told nothing for this long offers no room while others have some: two of its words are missing. */
export const stateDoubtMs = 375;
/** A holder that told nothing for this long is not given new parts: three of its words are missing. */
export const stateStaleMs = 600;
