"""Scenarios on single services."""

import functools

from lavenderstile import leases
from lavenderstile import shares

from . import figures
from . import service_run
from . import sizes
from . import targets

ONSET_S = 15.0
GRAY_WINDOW_S = 40.0
# A target counts as detected when this part of the load avoids it.
DETECTED_PART = 0.9
# Offered load over capacity in the fairness scenario.
OVERLOAD = 1.5
# Until here the queue fills up.
WARM_S = 10.0
LEAVE_S, RETURN_S = 30.0, 60.0
# A planned outage begins this long after the ticket, others before it.
NOTICE_S = 3.0
# Requests a second per target, over half of the capacity.
BUSY_RATE = 30.0


def detect(deployment, seed, length, policy, kind):
    """Return the detection times of gray targets of one kind."""
    times = figures.Durations()
    missed = 0
    for trial in range(length['trials']):
        services = deployment.services()
        service = services[trial % len(services)]
        took_s = _detect_once(
            deployment, f'{seed}/{trial}', service, policy, kind
        )
        missed += took_s is None
        times.record(GRAY_WINDOW_S if took_s is None else took_s)
    return {
        'detection median s': times.percentile(50),
        'detection p99 s': times.percentile(99),
        f'not detected in {GRAY_WINDOW_S:.0f} s': missed,
    }


def _detect_once(deployment, seed, service, policy, kind):
    gray = service.targets[0].address

    def behave(target, host):
        if target.address == gray and run.engine.elapsed >= ONSET_S:
            return targets.GRAY[kind]
        return targets.HEALTHY

    run = service_run.ServiceRun(
        seed, deployment, service, policy, behave=behave
    )
    run.engine.run(ONSET_S)
    end_s = ONSET_S
    while end_s < ONSET_S + GRAY_WINDOW_S:
        end_s += 0.05
        run.engine.run(end_s)
        if run.policy.ejected_part(gray) >= DETECTED_PART:
            return end_s - ONSET_S
    return None


def eject_falsely(deployment, seed, length, policy, kind):
    """Return the false ejections per host-hour of a service."""
    count = 0
    for service in deployment.services()[: length['services']]:
        run = service_run.ServiceRun(
            f'{seed}/{service.name}', deployment, service, policy
        )
        for target in run.targets.values():
            target._behave = functools.partial(_behave_innocently, run, kind)
        run.engine.run(length['innocent_s'])
        count += len(run.policy.ejections)
    hours = deployment.hosts * length['innocent_s'] / 3600
    return {
        'false ejections': count,
        'false ejections per 100 host-hours': round(100 * count / hours, 2),
        'host-hours': round(hours, 1),
    }


def _behave_innocently(run, kind, target, host):
    if kind == 'slow service' and run.engine.elapsed % 60.0 >= 30.0:
        return targets.Behaviour(slowness=3.0)
    if kind == 'bad link' and host == run.hosts[0]:
        return targets.Behaviour(errors=0.7)
    return targets.HEALTHY


def serve_fairly(deployment, seed, length, policy):
    """Return the worst-served workspace's part of its fair share."""
    service = deployment.services()[0]
    capacity = len(service.targets) * deployment.slots / targets.MEAN_S
    # Requests beyond the rate are refused before the queue, so the noisy
    # workspace's five times its rate arrive here as its whole rate.
    demands = {
        name: OVERLOAD * capacity * part for name, part in sizes.SHARES.items()
    }
    run = service_run.ServiceRun(seed, deployment, service, policy, demands)
    end_s = length['overload_s']
    run.engine.run(end_s)
    fair = figures.share_fairly(demands, capacity)
    rates = {
        name: sum(time >= WARM_S for time in run.served[name])
        / (end_s - WARM_S)
        for name in demands
    }
    parts = {name: rates[name] / fair[name] for name in demands}
    worst = min(parts, key=parts.get)
    return {
        'worst-served part of fair share': round(parts[worst], 4),
        'worst-served workspace': worst,
        'utilisation': round(sum(rates.values()) / capacity, 4),
    }


def lose_domain(deployment, seed, length, policy, kind):
    """Return the service while a failure domain leaves and returns."""
    lost = sizes.DOMAINS[1]
    service = deployment.services()[0]

    down_s = LEAVE_S + (NOTICE_S if kind == 'planned' else -NOTICE_S)

    def behave(target, host):
        down = down_s <= run.engine.elapsed < RETURN_S
        if down and target.domain == lost:
            return targets.Behaviour(refuses=True)
        return targets.HEALTHY

    demands = service_run.spread_load(service, BUSY_RATE)
    run = service_run.ServiceRun(
        seed, deployment, service, policy, demands, behave
    )
    _plan_outage(run, lost)
    run.engine.run(RETURN_S + 40.0)
    usual = run.latency(5.0, LEAVE_S - NOTICE_S)
    outage = run.latency(LEAVE_S - NOTICE_S, RETURN_S + 30.0)
    asked, failed = run.count_failed(LEAVE_S - NOTICE_S, RETURN_S + 30.0)
    return {
        'requests failed %': round(100 * failed / asked, 3),
        'p99 before s': usual.percentile(99),
        'p99 meanwhile s': outage.percentile(99),
        'time to recover s': _time_to_recover(run, usual.percentile(99)),
    }


def _plan_outage(run, lost):
    """Plan the domain's tickets, and the loss of its hosts and units."""
    units = shares.list_units([run.service])
    kept = [
        unit
        for unit in units
        if sizes.host_domain(shares.find_unit_home(unit, run.hosts)) != lost
    ]
    after = run.engine.after
    after(LEAVE_S, run.policy.configure, frozenset({lost}))
    after(
        LEAVE_S + NOTICE_S + leases.LEASE_DURATION_S,
        run.policy.set_units,
        kept,
    )
    after(RETURN_S, _fall_cold, run, lost)
    after(RETURN_S, run.policy.configure, frozenset())
    after(RETURN_S + leases.LENDER_HOLD_S + 1.0, run.policy.set_units, units)


def _fall_cold(run, domain):
    for target in run.targets.values():
        if target.domain == domain:
            target.fall_cold()


def _time_to_recover(run, usual_p99_s):
    """Return when the last second with failures or long waits ended.

    A second counts if over 2% of its requests failed, or if its 90th
    percentile is over the usual 99th. A median would miss the requests of
    one large workspace, which queue alone.
    """
    last = 0.0
    for second in range(int(RETURN_S), int(RETURN_S + 30.0)):
        asked, failed = run.count_failed(second, second + 1)
        long_s = run.latency(second, second + 1).percentile(90)
        slow = long_s is None or long_s > usual_p99_s
        if asked and (slow or failed > 0.02 * asked):
            last = second + 1 - RETURN_S
    return last


def fall_cold(deployment, seed, length, policy):
    """Return the overrun of targets that fall back into cold start."""
    service = deployment.services()[0]
    demands = service_run.spread_load(service, BUSY_RATE)
    run = service_run.ServiceRun(seed, deployment, service, policy, demands)
    for number, target in enumerate(run.targets.values()):
        run.engine.after(5.0 + 3.0 * number, target.fall_cold)
    run.engine.run(length['cold_s'])
    asked, failed = run.count_failed(5.0, length['cold_s'] - 5.0)
    overruns = sum(target.overruns for target in run.targets.values())
    return {
        'overruns of cold targets': overruns,
        'requests failed %': round(100 * failed / asked, 3),
    }
