"""What each target can take now, with the age of what is known about it."""

import math

# The weight of a report of the load from other domains falls linearly to zero
# over this time. What it loses goes to the typical load of such targets.
REPORT_LIFETIME_S = 0.8

# Weight of a new report in the typical load, which itself is forgotten
# linearly over this time without reports.
TYPICAL_LOAD_WEIGHT = 0.1
TYPICAL_LOAD_LIFETIME_S = 3.0


class Room:
    """What a host knows about the room of one target.

    `work_s` is the expected latency of a request that gets a slot. `own`,
    `peers` and `remote` are the requests in flight from this host, from the
    other hosts of its domain and from other domains; `remote` is an expected
    value, of which `uncertainty` is no report but the typical load. `age_s`
    is the age of the report, infinite without one. `running` is the sum,
    `free` the expected free slots, negative if requests wait at the target,
    and `wait_s` the expected wait of one more request for a slot.
    """

    __slots__ = (
        'age_s',
        'free',
        'own',
        'peers',
        'remote',
        'running',
        'slots',
        'uncertainty',
        'wait_s',
        'work_s',
    )

    def __init__(self, slots, work_s, own, peers, remote, uncertainty, age_s):
        self.slots = slots
        self.work_s = work_s
        self.own = own
        self.peers = peers
        self.remote = remote
        self.uncertainty = uncertainty
        self.age_s = age_s
        self.running = running = own + peers + remote
        self.free = free = slots - running
        self.wait_s = (1 - free) * work_s / slots if free < 1 else 0.0


class Rooms:
    """Reports of the load that other domains cause, by instance.

    A report that is old says little about a target, and none does not mean
    that it is idle: it then counts as loaded as those of its service and
    domain that reported lately.
    """

    __slots__ = ('_reports', '_typical')

    def __init__(self):
        self._reports = {}
        self._typical = {}

    def record(self, target, remote, now):
        """Record a report of the load that other domains cause."""
        self._reports[target.instance] = (remote, now)
        share = remote / max(1, target.slots)
        key = target.service, target.domain
        mean = self._get_typical(key, now)
        mean += TYPICAL_LOAD_WEIGHT * (share - mean)
        self._typical[key] = mean, now

    def _get_typical(self, key, now):
        """Return the typical load for each slot, zero without reports."""
        found = self._typical.get(key)
        if found is None:
            return 0.0
        mean, at = found
        age_s = max(0.0, now - at)
        return mean * max(0.0, 1 - age_s / TYPICAL_LOAD_LIFETIME_S)

    def keep(self, instances):
        """Remove the reports of targets that are not in `instances`."""
        for instance in self._reports.keys() - instances:
            del self._reports[instance]

    def estimate(self, target, own, peers, work_s, now):
        """Return the room of a target."""
        remote, weight, age_s = 0.0, 0.0, math.inf
        report = self._reports.get(target.instance)
        if report is not None:
            age_s = max(0.0, now - report[1])
            weight = max(0.0, 1 - age_s / REPORT_LIFETIME_S)
            remote = report[0] * weight
        uncertainty = 0.0
        if weight < 1:
            key = target.service, target.domain
            typical = self._get_typical(key, now)
            uncertainty = (1 - weight) * typical * target.slots
        return Room(
            target.slots,
            work_s,
            own,
            peers,
            remote + uncertainty,
            uncertainty,
            age_s,
        )
