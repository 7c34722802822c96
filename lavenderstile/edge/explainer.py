"""Explains where a request would go now, without a change of any state."""

import math

from .. import verdicts
from . import crash_guard
from . import explanation
from . import handler
from . import path_tester
from . import refusals
from . import target_sender

Decision = explanation.Decision
Reason = verdicts.Reason

# Digits of times in an answer, in seconds.
TIME_DIGITS = 4


class Explainer:
    """Repeats the checks and the choice of `handler.RequestHandler`."""

    __slots__ = ('_parts',)

    def __init__(self, parts):
        self._parts = parts

    def explain(self, query, unready=None):
        """Return the `Explanation` of a `Query`.

        `unready` says why the host is not ready, if it is not.
        """
        configuration = self._parts.directory.configuration
        if configuration is None:
            refusal = _refuse(
                Reason.HOST_OVERLOADED,
                'no configuration received yet',
                handler.NO_TARGET_RETRY_S,
            )
            return explanation.Explanation(None, unready, refusal=refusal)
        route = configuration.find_route(
            query.host, query.path.partition('?')[0]
        )
        workspace = configuration.workspaces.get(query.workspace)
        refusal = _check_request(configuration, route, workspace, query)
        if route is None:
            return explanation.Explanation(
                configuration.version, unready, refusal=refusal
            )
        now = self._parts.clock.now()
        priority = route.priority
        rate = None
        if refusal is None and self._is_blocked(query, workspace, now):
            refusal = _refuse(Reason.CRASHES_TARGETS, handler.CRASH_DETAIL)
        if workspace is not None:
            wait_s, state = self._parts.rate_limits.preview(
                workspace.name, now
            )
            rate = state and explanation.RateState(**state)
            if wait_s and refusal is None:
                detail = f'workspace {workspace.name} is over its rate'
                refusal = _refuse(Reason.RATE_EXCEEDED, detail, wait_s)
            if workspace.priority is not None:
                priority = workspace.priority
        timeout_s = min(
            handler.DEFAULT_TIMEOUT_S,
            route.timeout_s or handler.DEFAULT_TIMEOUT_S,
        )
        return explanation.Explanation(
            configuration.version,
            unready,
            route.name,
            workspace and workspace.name,
            priority,
            timeout_s,
            rate,
            refusal,
            [
                self._explain_service(
                    weighted, route, priority, timeout_s, query.size, now
                )
                for weighted in route.weighted_services
            ],
        )

    def _is_blocked(self, query, workspace, now):
        """Return whether a request crashes targets; needs one without body."""
        if query.size:
            return False
        digest = crash_guard.make_digest(
            query.method, query.path, workspace.name if workspace else '', b''
        )
        return self._parts.guard.is_blocked(digest, now)

    def _explain_service(
        self, weighted, route, priority, timeout_s, size, now
    ):
        service = weighted.service
        assessments = self._parts.balancer.assess(
            service,
            now,
            size / 1024,
            route.idempotent,
            lambda instance: self._parts.pools.has_idle(
                instance, not route.idempotent
            ),
        )
        assessments.sort(
            key=lambda found: (found.exclusion is not None, found.cost_s)
        )
        candidates = [
            explanation.Candidate(
                found.known.target.instance,
                found.known.target.domain,
                round(found.cost_s, TIME_DIGITS),
                {
                    name: round(part_s, TIME_DIGITS)
                    for name, part_s in found.parts.items()
                },
                found.exclusion,
            )
            for found in assessments
        ]
        candidates += self._list_unused(service)
        return explanation.ServiceExplanation(
            service,
            weighted.weight,
            self._decide(
                service, route, priority, timeout_s, assessments, now
            ),
            candidates,
        )

    def _list_unused(self, service):
        """Return the targets of a service that get no requests at all."""
        directory = self._parts.directory
        return [
            explanation.Candidate(
                known.target.instance,
                known.target.domain,
                0.0,
                {},
                'its domain is taken out of service'
                if known.target.domain in directory.evacuated
                else 'it is draining or leaves',
            )
            for known in directory.targets.values()
            if known.target.service == service
            and (
                known.target.domain in directory.evacuated
                or not known.takes_requests
            )
        ]

    def _decide(self, service, route, priority, timeout_s, assessments, now):
        """Return the `Decision` on a request to a service."""
        parts = self._parts
        if parts.paths.is_cut:
            if parts.fleet.list_relays(now):
                return Decision('relay', 'this host reaches no target')
            if parts.paths.is_confirmed(now):
                return _refuse(
                    Reason.TARGET_UNREACHABLE,
                    'this host reaches no target',
                    path_tester.TEST_INTERVAL_S,
                )
        if timeout_s < target_sender.MIN_REMAINING_S:
            return _refuse(Reason.DEADLINE_EXCEEDED, 'deadline reached')
        chosen = [
            found.known.target.instance
            for found in assessments
            if found.exclusion is None
        ]
        target = chosen[0] if chosen else None
        urgency = parts.kind_urgency
        turn = urgency.make_turn(service, route, now, now + timeout_s)
        longest_s = urgency.get_longest_wait(service, route, timeout_s)
        if parts.waiting.must_yield(service, priority, turn):
            detail = f'behind other requests, for {longest_s:.2f} s at most'
            return Decision('wait', detail, target)
        if target is not None:
            return Decision('send', 'lowest cost', target)
        wait_s = min((found.full_s for found in assessments), default=math.inf)
        if wait_s == math.inf:
            detail = f'no target may get it, for {longest_s:.2f} s at most'
            return Decision('wait', detail)
        work_s = parts.health.get_mean_latency(service)
        if wait_s + work_s > timeout_s:
            detail = 'no target has a free slot'
            return _refuse(Reason.NO_CAPACITY, detail, wait_s)
        detail = f'no target has a free slot, for {longest_s:.2f} s at most'
        return Decision('wait', detail)


def _check_request(configuration, route, workspace, query):
    """Return the refusal of a request for what it is, or None."""
    if query.size > configuration.limits.body_bytes:
        limit = configuration.limits.body_bytes
        return _refuse(
            Reason.BODY_TOO_LARGE, f'request body is larger than {limit} bytes'
        )
    if query.method == 'CONNECT':
        return _refuse(
            Reason.METHOD_NOT_ALLOWED, 'the method CONNECT is not served'
        )
    if route is None:
        return _refuse(Reason.ROUTE_UNKNOWN, 'no route for host and path')
    if not configuration.workspaces or route.is_public or workspace:
        return None
    if query.workspace is None:
        return _refuse(
            Reason.KEY_MISSING, 'the route requires the API key of a workspace'
        )
    # The name is not repeated, since an operator may have given a key.
    return _refuse(
        Reason.KEY_UNKNOWN, 'the configuration has no workspace of this name'
    )


def _refuse(reason, detail, retry_after_s=None):
    """Return the `Decision` to refuse a request, which has not run."""
    refusal = verdicts.Refusal(reason, detail, retry_after_s=retry_after_s)
    return Decision(
        'refuse',
        detail,
        reason=reason.value,
        verdict=refusal.verdict.value,
        status=refusals.get_status(refusal),
        retry_after_s=retry_after_s and round(retry_after_s, 2),
    )
