"""Lease durations that limit how long runs continue without contact to their owner.

A dispatcher holds a lease at each executor that runs its tasks, and the executor holds one at its
minion. When a process dies or is cut off, its runs end once the lease has expired. Another
dispatcher that takes over its jobs waits that long, or until the runs are reported as over. It
can't rely on the caller to wait: a caller may retry sooner.
"""

# Time after the last message of a dispatcher that renewed its lease until the executor stops its
# runs.
DISPATCHER_LEASE_MS = 600.0
# Time after the last call of an executor that renewed its lease until the minion stops its runs.
MINION_LEASE_MS = 500.0
# Longest lease that a minion grants, whatever the call asks for.
LONGEST_LEASE_MS = 1_000.0
# Largest relative difference in rate between two clocks: 2%.
CLOCK_DRIFT = 0.02
# Time after which the runs of a silent dispatcher must be over: both leases, and the time that a
# stop may take before the minion's lease is cut short for it.
RUNS_OVER_MS = (DISPATCHER_LEASE_MS + MINION_LEASE_MS) * (1 + CLOCK_DRIFT) + 150.0
# Time after the end of an executor's process after which its runs must be over: the lease at the
# minion, which nothing renews any more, and the time that a stop takes.
ORPHANS_OVER_MS = MINION_LEASE_MS * (1 + CLOCK_DRIFT) + 150.0
# A dispatcher that has had no contact with a quorum of the arbiters of a job for this long gives up
# the job and stops its runs: arbiters that were restarted meanwhile do not know of its claim.
CLAIM_CONTACT_MS = 2_000.0
# Time after an arbiter's last contact with a dispatcher after which the runs of its claims must be
# over, unless it is still in contact with a quorum of other arbiters.
CLAIMS_LAPSED_MS = CLAIM_CONTACT_MS * (1 + CLOCK_DRIFT) + RUNS_OVER_MS
