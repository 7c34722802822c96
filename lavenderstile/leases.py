"""Times that leases of rights keep, so that a right is never used twice.

The borrower counts a lease from the time it sent its request, the lender from
the time it granted it, so the borrower always stops first.
"""

LEASE_DURATION_S = 3.0
# 10% longer than the lease: the lender's clock may run that much faster
# than the borrower's.
LENDER_HOLD_S = 3.3
# Stated limit for a configuration change to be in force on every host.
SPREAD_LIMIT_S = 5.0
# A larger share under a new list of addresses waits from its publishing on
# until the hosts whose shares get smaller know of it and the leases that they
# granted before have ended (`SPREAD_LIMIT_S + LENDER_HOLD_S`). It waits
# somewhat longer, so that a list that was replaced before some hosts learned
# it is replaced here, too, before its larger shares apply.
GROWTH_DELAY_S = 2 * SPREAD_LIMIT_S
# A lender that was not called for this long, while it is called every second
# otherwise, may have missed a list. It is less than `SPREAD_LIMIT_S` by more
# than the drift of clocks.
MISSED_CHANGE_S = 4.0
# How long a borrower remembers a lease that has ended. It must be longer than
# any request can take to arrive: one that arrives later renews the lease, and
# its tokens would be counted again.
LEASE_RETENTION_S = 600.0
