"""Scenarios with a single service."""

import functools

from lavenderstile import leases
from lavenderstile import shares

from . import figures
from . import service_run
from . import sizes
from . import targets

# Time at which a target becomes gray.
ONSET_S = 15.0
DETECTION_LIMIT_S = 40.0
# A gray target counts as detected when this share of the load avoids it.
DETECTED_SHARE = 0.9
# Offered load divided by capacity in the fairness scenario.
OVERLOAD = 1.5
# The queue fills up during this time, which is excluded from the figures.
WARM_UP_S = 10.0
LEAVE_S, RETURN_S = 30.0, 60.0
# A planned outage begins this time after its ticket, an abrupt one this time
# before it.
OUTAGE_OFFSET_S = 3.0
# Requests per second per target, over half of the capacity.
BUSY_RATE = 30.0


def measure_detection(deployment, seed, scale, policy, kind):
    """Return figures of the time to detect gray targets of one kind."""
    times = figures.Durations()
    missed = 0
    for trial in range(scale['trials']):
        services = deployment.services()
        service = services[trial % len(services)]
        detection_s = _detect_once(
            deployment, f'{seed}/{trial}', service, policy, kind
        )
        missed += detection_s is None
        times.record(DETECTION_LIMIT_S if detection_s is None else detection_s)
    return {
        'detection median s': times.percentile(50),
        'detection p99 s': times.percentile(99),
        f'not detected in {DETECTION_LIMIT_S:.0f} s': missed,
    }


def _detect_once(deployment, seed, service, policy, kind):
    gray = service.targets[0].address

    def choose_behaviour(target, host):
        if target.address == gray and run.engine.elapsed >= ONSET_S:
            return targets.GRAY[kind]
        return targets.HEALTHY

    run = service_run.ServiceRun(
        seed, deployment, service, policy, choose_behaviour=choose_behaviour
    )
    run.engine.run(ONSET_S)
    end_s = ONSET_S
    while end_s < ONSET_S + DETECTION_LIMIT_S:
        end_s += 0.05
        run.engine.run(end_s)
        if run.policy.ejected_share(gray) >= DETECTED_SHARE:
            return end_s - ONSET_S
    return None


def measure_false_ejections(deployment, seed, scale, policy, kind):
    """Return the number of false ejections and their rate per host-hour."""
    count = 0
    for service in deployment.services()[: scale['services']]:
        run = service_run.ServiceRun(
            f'{seed}/{service.name}', deployment, service, policy
        )
        for target in run.targets.values():
            target._choose_behaviour = functools.partial(
                _behave_without_target_fault, run, kind
            )
        run.engine.run(scale['innocent_s'])
        count += len(run.policy.ejections)
    hours = deployment.hosts * scale['innocent_s'] / 3600
    return {
        'false ejections': count,
        'false ejections per 100 host-hours': round(100 * count / hours, 2),
        'host-hours': round(hours, 1),
    }


def _behave_without_target_fault(run, kind, target, host):
    if kind == 'slow service' and run.engine.elapsed % 60.0 >= 30.0:
        return targets.Behaviour(slow_factor=3.0)
    if kind == 'bad link' and host == run.hosts[0]:
        return targets.Behaviour(error_share=0.7)
    return targets.HEALTHY


def measure_fairness(deployment, seed, scale, policy):
    """Return the served part of the fair share of the worst workspace."""
    service = deployment.services()[0]
    capacity = len(service.targets) * deployment.slots / targets.MEAN_S
    # Requests beyond the rate limit are refused before they are queued. The
    # noisy workspace sends five times its rate, of which one reaches the
    # queue.
    demands = {
        name: OVERLOAD * capacity * part
        for name, part in sizes.WORKSPACE_SHARES.items()
    }
    run = service_run.ServiceRun(seed, deployment, service, policy, demands)
    end_s = scale['overload_s']
    run.engine.run(end_s)
    fair_shares = figures.compute_fair_shares(demands, capacity)
    rates = {
        name: sum(time >= WARM_UP_S for time in run.response_times[name])
        / (end_s - WARM_UP_S)
        for name in demands
    }
    served_shares = {name: rates[name] / fair_shares[name] for name in demands}
    worst = min(served_shares, key=served_shares.get)
    return {
        'worst-served part of fair share': round(served_shares[worst], 4),
        'worst-served workspace': worst,
        'utilisation': round(sum(rates.values()) / capacity, 4),
    }


def measure_domain_outage(deployment, seed, scale, policy, kind):
    """Return failures, latency and recovery time of a domain outage."""
    lost_domain = sizes.DOMAINS[1]
    service = deployment.services()[0]

    outage_start_s = LEAVE_S + (
        OUTAGE_OFFSET_S if kind == 'planned' else -OUTAGE_OFFSET_S
    )

    def choose_behaviour(target, host):
        is_down = outage_start_s <= run.engine.elapsed < RETURN_S
        if is_down and target.domain == lost_domain:
            return targets.Behaviour(refuses=True)
        return targets.HEALTHY

    demands = service_run.compute_demands(service, BUSY_RATE)
    run = service_run.ServiceRun(
        seed, deployment, service, policy, demands, choose_behaviour
    )
    _plan_outage(run, lost_domain)
    run.engine.run(RETURN_S + 40.0)
    usual_latencies = run.collect_latencies(5.0, LEAVE_S - OUTAGE_OFFSET_S)
    outage_latencies = run.collect_latencies(
        LEAVE_S - OUTAGE_OFFSET_S, RETURN_S + 30.0
    )
    total, failed = run.count_failed(
        LEAVE_S - OUTAGE_OFFSET_S, RETURN_S + 30.0
    )
    return {
        'requests failed %': round(100 * failed / total, 3),
        'p99 before s': usual_latencies.percentile(99),
        'p99 meanwhile s': outage_latencies.percentile(99),
        'time to recover s': _time_to_recover(
            run, usual_latencies.percentile(99)
        ),
    }


def _plan_outage(run, lost_domain):
    """Schedule the tickets of an outage, and the loss of hosts and units."""
    units = shares.list_units([run.service])
    remaining_units = [
        unit
        for unit in units
        if sizes.host_domain(shares.find_unit_home(unit, run.hosts))
        != lost_domain
    ]
    after = run.engine.after
    after(LEAVE_S, run.policy.configure, frozenset({lost_domain}))
    after(
        LEAVE_S + OUTAGE_OFFSET_S + leases.LEASE_DURATION_S,
        run.policy.set_units,
        remaining_units,
    )
    after(RETURN_S, _start_domain_cold, run, lost_domain)
    after(RETURN_S, run.policy.configure, frozenset())
    after(RETURN_S + leases.LENDER_HOLD_S + 1.0, run.policy.set_units, units)


def _start_domain_cold(run, domain):
    for target in run.targets.values():
        if target.domain == domain:
            target.start_cold()


def _time_to_recover(run, usual_p99_s):
    """Return the time from the end of the outage to the last bad second.

    A second is bad if over 2% of its requests failed, or if the 90th
    percentile of its latencies is above the 99th before the outage. The
    median would miss a large workspace whose requests alone are queued.
    """
    last = 0.0
    for second in range(int(RETURN_S), int(RETURN_S + 30.0)):
        total, failed = run.count_failed(second, second + 1)
        p90_s = run.collect_latencies(second, second + 1).percentile(90)
        is_slow = p90_s is None or p90_s > usual_p99_s
        if total and (is_slow or failed > 0.02 * total):
            last = second + 1 - RETURN_S
    return last


def measure_cold_starts(deployment, seed, scale, policy):
    """Return the overruns of targets that enter cold start, and failures."""
    service = deployment.services()[0]
    demands = service_run.compute_demands(service, BUSY_RATE)
    run = service_run.ServiceRun(seed, deployment, service, policy, demands)
    for number, target in enumerate(run.targets.values()):
        run.engine.after(5.0 + 3.0 * number, target.start_cold)
    run.engine.run(scale['cold_s'])
    total, failed = run.count_failed(5.0, scale['cold_s'] - 5.0)
    overruns = sum(target.overruns for target in run.targets.values())
    return {
        'overruns of cold targets': overruns,
        'requests failed %': round(100 * failed / total, 3),
    }
