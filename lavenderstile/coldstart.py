"""Slow start: ramp-up of the load on a cold target."""

from . import charts

INITIAL_LIMIT = 1
SUCCESSES_PER_STEP = 8


class ColdStart:
    """Concurrency limit of one target during its cold start.

    Only responses to requests that were granted at the present limit count
    toward the next step, so each grant records the step number.
    """

    __slots__ = (
        '_announced',
        '_chart',
        '_limit',
        '_reason',
        '_slots',
        '_step',
        '_successes',
    )

    def __init__(self, slots):
        self._chart = charts.ChartRunner(charts.load_chart('coldstart'))
        self._slots = slots
        self._limit = slots
        self._successes = 0
        self._step = 0
        self._announced = False
        self._reason = ''

    @property
    def ramping(self):
        """Whether the target is below its full load."""
        return self._chart.state != 'warm'

    @property
    def first_step(self):
        """Whether only the unit with index 0 is usable."""
        return self._chart.state == 'first_step'

    @property
    def step(self):
        """Number of the present step; increases with each change."""
        return self._step

    @property
    def reason(self):
        """Why the last ramp began."""
        return self._reason

    def limit(self):
        """Return how many requests may run at once, or None if warm."""
        return self._limit if self.ramping else None

    def configure(self, slots):
        """Set the target's configured number of slots."""
        self._slots = slots

    def restart(self, reason):
        """Begin the ramp; return whether the target was warm before."""
        was_warm = not self.ramping
        self._reason = reason
        self._successes = 0
        if not self.first_step:
            self._chart.send('restart')
            self._limit = INITIAL_LIMIT
            self._step += 1
        return was_warm

    def resume(self, limit, reason):
        """Continue a ramp that another owner began."""
        self.restart(reason)
        if limit > INITIAL_LIMIT:
            self._chart.send('step')
            self._limit = limit
            self._step += 1

    def record_announcement(self, cold):
        """Record the target's announcement; return whether a ramp began."""
        is_new = cold and not self._announced
        self._announced = cold
        if is_new and not self.ramping:
            return self.restart('announced by the target')
        return False

    def record_success(self, step):
        """Count a good response; return whether the target became warm."""
        if not self.ramping or step != self._step:
            return False
        self._successes += 1
        if self._successes < SUCCESSES_PER_STEP:
            return False
        return self._raise_limit()

    def record_failure(self):
        """Record a failure: good responses are counted from zero again."""
        self._successes = 0

    def reset_progress(self):
        """Reset the count of good responses at the present limit."""
        self._successes = 0

    def _raise_limit(self):
        self._successes = 0
        if self._limit < self._slots:
            self._limit += 1
            self._step += 1
            self._chart.send('step')
            return False
        # A target that still announces cold stays limited to its slots.
        if self._announced:
            return False
        self._chart.send('full')
        self._step += 1
        return True
