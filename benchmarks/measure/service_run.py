"""Simulated load on one service: callers, hosts, a policy and fake targets."""

import collections
import dataclasses

from lavenderstile import messages
from lavenderstile import retries
from lavenderstile import verdicts

from . import engine as engine_module
from . import figures
from . import sizes
from . import targets

DEADLINE_S = 5.0
IDEMPOTENT_SHARE = 0.8
Outcome = messages.Outcome


class ServiceRun:
    """One service under Poisson load.

    `demands` maps workspaces to requests per second;
    `choose_behaviour(target, host)` returns a target's current behaviour.
    """

    def __init__(
        self,
        seed,
        deployment,
        service,
        policy,
        demands=None,
        choose_behaviour=None,
    ):
        self.engine = engine_module.Engine(seed)
        self.service = service
        self.deployment = deployment
        self.hosts = list(deployment.host_names)
        self.weights = deployment.host_weights
        self.engine.rng.shuffle(self.weights)
        self.policy = policy(
            self.engine, deployment, service, list(self.weights)
        )
        choose_behaviour = choose_behaviour or (
            lambda target, host: targets.HEALTHY
        )
        self.targets = {
            target.address: targets.FakeTarget(
                self.engine, target, deployment.delay_s, choose_behaviour
            )
            for target in service.targets
        }
        self.request_counts = collections.Counter()
        # Times of successful responses by workspace.
        self.response_times = collections.defaultdict(list)
        # (start, end) of each request; the end of a failed request is None.
        self.requests = []
        self._number = 0
        for workspace, rate in (demands or compute_demands(service)).items():
            self._plan_arrival(workspace, rate)

    def _plan_arrival(self, workspace, rate):
        delay_s = self.engine.rng.expovariate(rate)
        self.engine.after(delay_s, self._arrive, workspace, rate)

    def _arrive(self, workspace, rate):
        self._plan_arrival(workspace, rate)
        self._number += 1
        rng = self.engine.rng
        request = messages.AdmitRequest(
            f'r{self._number}',
            sizes.choose_host(rng, self.hosts, self.weights),
            self.service.name,
            workspace,
            self.engine.now + DEADLINE_S,
            f'd{self._number}',
            rng.random() < IDEMPOTENT_SHARE,
        )
        self.request_counts[workspace] += 1
        self._request_slot(request, self.engine.elapsed)

    def _request_slot(self, request, started):
        def on_decision(result):
            if isinstance(result, messages.Grant):
                self._start(request, started, result)
            else:
                self.requests.append((started, None))

        self.policy.request_slot(request, on_decision)

    def _start(self, request, started, grant):
        sent_at = self.engine.now
        delay_s = self.deployment.delay_s
        self.policy.record_start(request.host, grant)

        def on_response(outcome, cold):
            latency_s = self.engine.now - sent_at
            report = messages.ReleaseReport(
                grant.grant_id,
                request.host,
                grant.unit,
                request.digest,
                outcome,
                latency_s,
                cold=cold,
            )
            self.policy.release(report)
            self._handle_outcome(request, started, grant, outcome)

        target = self.targets[grant.unit.target]
        granted_at = sent_at - self.policy.delay_s
        self.engine.after(
            delay_s,
            target.start,
            request.host,
            granted_at,
            request.deadline,
            lambda *result: self.engine.after(delay_s, on_response, *result),
        )

    def _handle_outcome(self, request, started, grant, outcome):
        if outcome is Outcome.ANSWERED:
            self.response_times[request.workspace].append(self.engine.elapsed)
            self.requests.append((started, self.engine.elapsed))
            return
        verdict = verdicts.Verdict.MAY_HAVE_RUN
        if outcome is Outcome.SHED:
            verdict = verdicts.Verdict.NOT_RUN
        decision = retries.decide_retry(
            outcome,
            request.idempotent,
            request.attempt,
            request.deadline - self.engine.now,
            verdict,
            target=grant.unit.target,
            domain=grant.domain,
            excluded_targets=request.excluded_targets,
            excluded_domains=request.excluded_domains,
        )
        if not isinstance(decision, retries.Retry):
            self.requests.append((started, None))
            return
        retry = dataclasses.replace(
            request,
            request_id=f'{request.request_id}+',
            attempt=decision.attempt,
            excluded_targets=decision.excluded_targets,
            excluded_domains=decision.excluded_domains,
            charged=decision.charged,
        )
        self._request_slot(retry, started)

    def count_failed(self, since, until):
        """Return (all, failed) requests that started in a time interval."""
        ends = [e for s, e in self.requests if since <= s < until]
        return len(ends), sum(end is None for end in ends)

    def collect_latencies(self, since, until):
        """Return latencies of successful requests started in an interval."""
        latencies = figures.Durations()
        for start, end in self.requests:
            if end is not None and since <= start < until:
                latencies.record(end - start)
        return latencies


def compute_demands(service, rate_per_target=sizes.RATE_PER_TARGET):
    """Return each workspace's demand in requests per second."""
    total = rate_per_target * len(service.targets)
    return {
        name: total * part for name, part in sizes.WORKSPACE_SHARES.items()
    }
