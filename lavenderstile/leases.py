"""Durations of leases, which ensure that no right is used at two hosts.

The borrower counts a lease from the time at which it sent its request, the
lender from the time at which it granted the lease. The lease therefore always
expires at the borrower first.
"""

LEASE_DURATION_S = 3.0
# 10% longer than the lease: the lender's clock may run that much faster
# than the borrower's.
LENDER_HOLD_S = 3.3
# Maximum time until a configuration change is in force on every host.
SPREAD_LIMIT_S = 5.0
# Delay between the publication of a new list of addresses and the time at
# which larger shares under it apply. By then the hosts whose shares shrink
# have the list in force and the leases that they granted before have expired,
# which takes `SPREAD_LIMIT_S + LENDER_HOLD_S`. The delay is longer than that,
# so that a list that is replaced before some hosts receive it is replaced
# here, too, before its larger shares apply.
GROWTH_DELAY_S = 2 * SPREAD_LIMIT_S
# A lender is called every second. If it was not called for this long, it may
# have missed a list of addresses. The margin below `SPREAD_LIMIT_S` is larger
# than the clock drift.
MISSED_CHANGE_S = 4.0
# How long a borrower keeps the record of an expired lease. It must be longer
# than any request can take to arrive: a request that arrives after the record
# was removed renews the lease, and its tokens would be counted twice.
LEASE_RETENTION_S = 600.0
