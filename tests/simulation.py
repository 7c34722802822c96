"""Seeded simulation of load on the admission of one service.

`python -m tests.simulation` prints the figures of docs/decisions/ejection.md.
"""

import collections
import heapq
import random
import sys

from lavenderstile import admission
from lavenderstile import messages
from lavenderstile import target_events

from . import fleets

Outcome = messages.Outcome
EventKind = target_events.EventKind

EVALUATION_INTERVAL_S = 0.2
TIMEOUT_S = 10.0
BASELINE_MAX_ERRORS = 5
# Time at which a target becomes gray; the evidence windows are full by then.
ONSET_S = 20.0


def make_behaviour(
    errors=0.01, median_s=0.02, sigma=0.5, slow_mode=0.0, slow_factor=10.0
):
    """Return a function that draws (outcome, latency) of a request."""

    def draw_result(rng):
        latency_s = median_s * rng.lognormvariate(0.0, sigma)
        if rng.random() < slow_mode:
            latency_s *= slow_factor
        if rng.random() < errors:
            return Outcome.ERROR_STATUS, latency_s
        if latency_s >= TIMEOUT_S:
            return Outcome.TIMEOUT, TIMEOUT_S
        return Outcome.ANSWERED, latency_s

    return draw_result


class ConsecutiveErrors:
    """Baseline: ejects after five consecutive errors over all hosts."""

    def __init__(self):
        self.consecutive_errors = collections.Counter()
        self.ejected_at = collections.defaultdict(list)

    def record(self, target, failed, now):
        self.consecutive_errors[target] = (
            self.consecutive_errors[target] + 1 if failed else 0
        )
        if self.consecutive_errors[target] == BASELINE_MAX_ERRORS:
            self.ejected_at[target].append(now)
            self.consecutive_errors[target] = 0


class Simulation:
    """Requests from many hosts to one owner, as a Poisson process.

    `choose(target, host, now)` returns the behaviour of a target towards
    a host at the time `now`.
    """

    def __init__(self, choose, seed, service=None, hosts=40, rate=10.0):
        self.rng = random.Random(seed)
        self.choose_behaviour = choose
        self.service = service or fleets.make_service(12, 3)
        self.hosts = [f'h{number}' for number in range(hosts)]
        self.rate = rate * len(self.service.targets)
        self.now = 0.0
        self.owner = admission.ServiceAdmission(
            fleets.SERVICE, -1.0, owner_id='simulated'
        )
        self.owner.configure(self.service, frozenset(), 0.0)
        self.owner.set_units(fleets.all_units(self.service), 0.0)
        self.baseline = ConsecutiveErrors()
        self.events = []
        self.granted = collections.Counter()
        self.results = collections.Counter()
        # Failed requests by target.
        self.failed = collections.Counter()
        self._queued_hosts = {}
        self._heap = []
        self._number = 0
        self._push(0.0, self._arrive)
        self._push(EVALUATION_INTERVAL_S, self._evaluate)

    def run(self, until, stop=None):
        """Run until a time, or until `stop()` is true."""
        while self._heap[0][0] <= until:
            self.now, _, step, args = heapq.heappop(self._heap)
            step(*args)
            if stop is not None and stop():
                return
        self.now = until

    def ejections(self, target=None):
        """Return the ejections as (time, target, reason)."""
        return [
            (at, event.target, event.reason)
            for at, event in self.events
            if event.kind is EventKind.EJECTED
            and target in (None, event.target)
        ]

    def _push(self, at, step, *args):
        self._number += 1
        heapq.heappush(self._heap, (at, self._number, step, args))

    def _arrive(self):
        self._push(self.now + self.rng.expovariate(self.rate), self._arrive)
        self._number += 1
        request = messages.AdmitRequest(
            f'r{self._number}',
            self.rng.choice(self.hosts),
            fleets.SERVICE,
            'shop',
            self.now + TIMEOUT_S,
            f'd{self._number}',
            self.rng.random() < 0.8,
        )
        result = self.owner.request(request, self.now)
        if isinstance(result, messages.Grant):
            self._start(result, request.host)
        elif not isinstance(result, messages.Queued):
            self.results['refused'] += 1
        else:
            self._queued_hosts[request.request_id] = request.host
            self._push(self.now, self._poll)

    def _poll(self):
        for decision in self.owner.poll(self.now):
            host = self._queued_hosts.pop(decision.request_id)
            if isinstance(decision.outcome, messages.Grant):
                self._start(decision.outcome, host)
            else:
                self.results['refused'] += 1

    def _start(self, grant, host):
        target = grant.unit.target
        self.granted[target] += 1
        draw_result = self.choose_behaviour(target, host, self.now)
        outcome, latency_s = draw_result(self.rng)
        self._push(
            self.now + latency_s,
            self._finish,
            grant,
            host,
            outcome,
            latency_s,
        )

    def _finish(self, grant, host, outcome, latency_s):
        failed = outcome is not Outcome.ANSWERED
        self.results['failed' if failed else 'answered'] += 1
        self.failed[grant.unit.target] += failed
        if not grant.trial:
            self.baseline.record(grant.unit.target, failed, self.now)
        self.owner.release(
            messages.ReleaseReport(
                grant.grant_id, host, grant.unit, '', outcome, latency_s
            ),
            self.now,
        )
        if self.owner.next_poll(self.now) is not None:
            self._poll()

    def _evaluate(self):
        self._push(self.now + EVALUATION_INTERVAL_S, self._evaluate)
        for event in self.owner.evaluate(self.now):
            self.events.append((self.now, event))
        self._poll()


GRAY = '10.0.0.3:80'
GOOD = make_behaviour()

GRAY_BEHAVIOURS = {
    'all requests fail': make_behaviour(errors=1.0),
    'half of the requests fail': make_behaviour(errors=0.5),
    '30% of the requests fail': make_behaviour(errors=0.3),
    '5 times slower': make_behaviour(median_s=0.1),
    '20 times slower': make_behaviour(median_s=0.4),
    'hangs until the timeout': make_behaviour(median_s=100.0, sigma=0.1),
}


def measure_detection(name, seed):
    """Return the seconds to ejection by the product and by the baseline.

    The value is None for one that did not eject the target.
    """
    bad = GRAY_BEHAVIOURS[name]

    def choose(target, host, now):
        return bad if target == GRAY and now >= ONSET_S else GOOD

    simulation = Simulation(choose, seed)
    simulation.run(ONSET_S + 40.0, lambda: simulation.ejections(GRAY))
    product_times = [at for at, *_ in simulation.ejections(GRAY)]
    baseline_times = [
        t for t in simulation.baseline.ejected_at[GRAY] if t >= ONSET_S
    ]
    return (
        product_times[0] - ONSET_S if product_times else None,
        baseline_times[0] - ONSET_S if baseline_times else None,
    )


def _slow_periods(target, host, now):
    return SLOW if now % 300.0 < 20.0 else GOOD


def _error_periods(target, host, now):
    return FAILING if now % 300.0 < 20.0 else GOOD


def _bad_link(target, host, now):
    return ALL_ERRORS if host == 'h7' else GOOD


def _brief_slowdowns(target, host, now):
    """Make each target in turn 5 times slower for one second."""
    second = int(now)
    if second % 10 == 0 and target == f'10.0.0.{second // 10 % 12}:80':
        return SLOW
    return GOOD


SLOW = make_behaviour(median_s=0.1)
FAILING = make_behaviour(errors=0.5)
ALL_ERRORS = make_behaviour(errors=1.0)
NO_ERRORS = make_behaviour(errors=0.0)
COMMON_ERRORS = make_behaviour(errors=0.05)
MIXED = make_behaviour(slow_mode=0.45)

HEALTHY_BEHAVIOURS = {
    '1% errors': lambda target, host, now: GOOD,
    '5% errors': lambda target, host, now: COMMON_ERRORS,
    'fast and slow routes': lambda target, host, now: MIXED,
    'a host with a bad link': _bad_link,
    'slow spells of the service': _slow_periods,
    'error spells of the service': _error_periods,
    'short hiccups of targets': _brief_slowdowns,
}


def measure_false_ejections(name, seed, seconds, rate=10.0):
    """Return the false ejections of the product and of the baseline."""
    simulation = Simulation(HEALTHY_BEHAVIOURS[name], seed, rate=rate)
    simulation.run(seconds)
    baseline_count = sum(
        len(t) for t in simulation.baseline.ejected_at.values()
    )
    return len(simulation.ejections()), baseline_count


def _print_detection(seeds):
    for name in GRAY_BEHAVIOURS:
        results = [measure_detection(name, seed) for seed in range(seeds)]
        texts = []
        for values in zip(*results):
            delays_s = sorted(value for value in values if value is not None)
            text = f'{len(delays_s)}/{len(values)}'
            if delays_s:
                middle, last = delays_s[len(delays_s) // 2], delays_s[-1]
                text += f' median {middle:.2f} s max {last:.2f} s'
            texts.append(text)
        print(f'{name}: {texts[0]}; baseline {texts[1]}', flush=True)


def _print_false_ejections(hours, rate, names):
    for name in names or HEALTHY_BEHAVIOURS:
        product_count, baseline_count = measure_false_ejections(
            name, 1, hours * 3600.0, rate
        )
        target_hours = hours * 12
        print(
            f'{name}, {rate:g} requests/s per target, {target_hours:g} '
            f'target-hours: {product_count}; baseline {baseline_count}',
            flush=True,
        )


def main(arguments):
    """Print the figures of `detection SEEDS` or `false HOURS RATE [NAME]`."""
    match arguments:
        case ['detection', seeds]:
            _print_detection(int(seeds))
        case ['false', hours, rate, *names]:
            _print_false_ejections(float(hours), float(rate), names)
        case _:
            sys.exit('usage: detection SEEDS | false HOURS RATE [NAME]')


if __name__ == '__main__':
    main(sys.argv[1:])
