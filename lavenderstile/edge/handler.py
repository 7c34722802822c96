"""Request path: admission checks, choice of target, sends and response."""

import asyncio
import contextlib
import math
import random
import traceback

import eliot

from .. import errors
from .. import headers as header_tools
from .. import verdicts
from . import balancing
from . import callers
from . import calls
from . import crash_guard
from . import health as health_module
from . import path_tester
from . import refusals
from . import relay as relay_module
from . import target_sender
from .admission import expected_wait

Answered = calls.Answered
Failed = calls.Failed
FaultKind = health_module.FaultKind
Reason = verdicts.Reason
Rejected = calls.Rejected
Unreachable = calls.Unreachable
Verdict = verdicts.Verdict

# Request timeout if neither the caller nor the route sets one.
DEFAULT_TIMEOUT_S = 30.0

# Failed connects to targets per request. Nothing was sent on them, so they
# do not count as attempts.
MAX_CONNECT_FAILURES = 3

# A waiting request looks for a target with a free slot when an event may have
# freed one, and at this interval, because blocks and load reports expire
# without an event.
WAIT_POLL_INTERVAL_S = 0.03

# Retry-After if only a change of the targets can provide a free slot.
NO_TARGET_RETRY_S = 0.3

# Failed connects after which another host sends the request.
RELAYED_CONNECT_FAILURES = 2

MAX_LOGGED_SENDS = 4

RELAY_REFUSAL_DETAIL = 'refused by another host'
STOP_DETAIL = 'the host is stopping'
CRASH_DETAIL = 'earlier attempts of this request crashed their targets'


class RequestHandler:
    """Serves the requests of one host."""

    def __init__(self, parts):
        self._clock = parts.clock
        self._directory = parts.directory
        self._header_codec = parts.header_codec
        self._fleet = parts.fleet
        self._rate_limits = parts.rate_limits
        self._balancer = parts.balancer
        self._budgets = parts.budgets
        self._health = parts.health
        self._outcomes = parts.outcomes
        self._pools = parts.pools
        self._paths = parts.paths
        self._relay = parts.relay
        self._guard = parts.guard
        self._reports = parts.reports
        self._waiting = parts.waiting
        self._kind_urgency = parts.kind_urgency
        self._expected_waits = parts.expected_waits
        self._usage = parts.usage
        self._metrics = parts.metrics
        self._sender = target_sender.TargetSender(parts)
        self._random = random.Random()
        self._refuse_from = math.inf
        self._stop_deadline = math.inf

    def begin_stop(self, refuse_from, deadline):
        """Refuse requests from a time on, so that all end by a deadline.

        Relayed requests are refused at once; their hosts have others to ask.
        """
        self._refuse_from = refuse_from
        self._stop_deadline = deadline

    async def handle(self, request, relayed=None):
        """Return the `CallerResponse` to a request.

        `relayed` is the `RelayedRequest` if another host sent it.
        """
        call = None
        try:
            call = self._admit(request, relayed)
            response = await self._forward(call)
            outcome = _describe_outcome(response)
        except _TargetFailure as failure:
            response = self._make_caller_response(failure.response)
            outcome = 'failure of the target'
        except errors.RefusedError as error:
            response = refusals.make_response(error.refusal)
            outcome = _describe_outcome(response)
        except asyncio.CancelledError:
            self._log(call, request, 'caller left', 0)
            raise
        except Exception as error:
            response = refusals.make_response(_refuse_after_error(call, error))
            outcome = _describe_outcome(response)
        self._log(call, request, outcome, response.status)
        return response

    def make_refusal(self, status, detail):
        """Return the response to a malformed or oversized request."""
        reason = {
            413: Reason.BODY_TOO_LARGE,
            503: Reason.HOST_OVERLOADED,
            408: Reason.DEADLINE_EXCEEDED,
        }.get(status, Reason.HEADER_INVALID)
        refusal = verdicts.Refusal(reason, detail, Verdict.NOT_RUN)
        return refusals.make_response(refusal)

    def record_fault(self, status, detail):
        """Log and count a malformed or oversized request."""
        self._metrics.count_request(f'unreadable_{status}')
        eliot.log_message('request_unreadable', status=status, detail=detail)

    def get_body_timeout(self, request):
        """Return the time limit for receiving a request's body, in seconds."""
        metadata = self._header_codec.read_request(request.headers)
        return metadata.timeout_s or DEFAULT_TIMEOUT_S

    def _log(self, call, request, outcome, status):
        duration_s = self._clock.now() - request.arrived_at
        self._metrics.record_request(outcome.partition(':')[0], duration_s)
        if call is not None and call.relayed is None:
            self._record_outcome(call.service, status < 500)
        request_id = (
            self._header_codec.read_request(request.headers).request_id
            if call is None
            else call.request_id
        )
        eliot.log_message(
            'request',
            id=request_id,
            path=request.path,
            service=call and call.service,
            workspace=call and call.workspace and call.workspace.name,
            priority=call and call.priority,
            waited_ms=call and round(call.waited_s * 1000),
            sends=call and call.sends[:MAX_LOGGED_SENDS],
            relayed_by=call and call.relayed and call.relayed.sender,
            status=status,
            outcome=outcome,
            took_ms=round(duration_s * 1000),
            version=self._get_version(),
            **(call.queue_fields if call else {}),
        )

    def _get_version(self):
        configuration = self._directory.configuration
        return configuration and configuration.version

    def _admit(self, request, relayed):
        """Run the admission checks on a request; return its `Call`.

        The sender of a relayed request has counted it and taken its token.
        """
        is_stopping = self._stop_deadline < math.inf
        if self._clock.now() >= self._refuse_from or (
            is_stopping and relayed is not None
        ):
            refusals.refuse(
                Reason.HOST_OVERLOADED, STOP_DETAIL, NO_TARGET_RETRY_S
            )
        configuration = self._directory.configuration
        if configuration is None:
            refusals.refuse(
                Reason.HOST_OVERLOADED,
                'no configuration received yet',
                NO_TARGET_RETRY_S,
            )
        if relayed is not None and configuration.version < relayed.version:
            refusals.refuse(
                Reason.HOST_OVERLOADED,
                'the configuration is older than that of the sender',
                NO_TARGET_RETRY_S,
            )
        metadata = self._header_codec.read_request(request.headers)
        if metadata.fault is not None:
            refusals.refuse(Reason.HEADER_INVALID, metadata.fault)
        if request.method == 'CONNECT':
            # A success would make the connection to the target a tunnel,
            # whose response never ends.
            refusals.refuse(
                Reason.METHOD_NOT_ALLOWED, 'the method CONNECT is not served'
            )
        route = configuration.find_route(
            request.host, request.path.partition('?')[0]
        )
        if route is None:
            refusals.refuse(Reason.ROUTE_UNKNOWN, 'no route for host and path')
        workspace = self._find_workspace(configuration, route, metadata.key)
        timeout_s = min(
            metadata.timeout_s or DEFAULT_TIMEOUT_S,
            route.timeout_s or DEFAULT_TIMEOUT_S,
        )
        if relayed is not None:
            timeout_s = min(timeout_s, relayed.remaining_s)
        deadline = request.arrived_at + timeout_s
        call = calls.Call(
            request, metadata, route, workspace, deadline, relayed
        )
        call.service = self._pick_service(route, relayed)
        self._refuse_crashing_request(call)
        if relayed is None:
            self._budgets.record_request(call.service, self._clock.now())
            if workspace is not None:
                self._take_token(call, workspace.name)
                call.is_surplus = self._usage is not None and (
                    self._usage.is_surplus(workspace.name, self._clock.now())
                )
        return call

    def _take_token(self, call, workspace):
        """Refuse the request if its workspace is over its rate."""
        wait_s = self._rate_limits.take(workspace, self._clock.now())
        if not wait_s:
            return
        eliot.log_message(
            'rate_refused',
            id=call.request_id,
            workspace=workspace,
            **self._rate_limits.describe(workspace),
        )
        self._record_outcome(call.service, is_served=False)
        refusals.refuse(
            Reason.RATE_EXCEEDED,
            f'workspace {workspace} is over its rate',
            wait_s,
        )

    def _record_outcome(self, service, is_served):
        """Count a request, so that healthy targets stay in use.

        The share of healthy targets in use has to be kept while requests are
        not served, whatever the reason.
        """
        unserved = int(not is_served)
        self._outcomes.record(service, 1, unserved, self._clock.now())
        if unserved:
            self._budgets.record_failure(service)

    def _find_workspace(self, configuration, route, key):
        if not configuration.workspaces:
            return None
        workspace = configuration.find_workspace(key) if key else None
        if workspace is None and not route.is_public:
            reason = Reason.KEY_UNKNOWN if key else Reason.KEY_MISSING
            refusals.refuse(
                reason, 'the route requires the API key of a workspace'
            )
        return workspace

    def _pick_service(self, route, relayed):
        services = [part.service for part in route.weighted_services]
        if relayed is not None and relayed.service in services:
            return relayed.service
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = [weighted.weight for weighted in route.weighted_services]
        return self._random.choices(route.weighted_services, weights)[
            0
        ].service

    def _refuse_crashing_request(self, call):
        workspace_name = call.workspace.name if call.workspace else ''
        request = call.request
        call.digest = crash_guard.make_digest(
            request.method, request.path, workspace_name, request.body
        )
        if self._guard.is_blocked(call.digest, self._clock.now()):
            refusals.refuse(Reason.CRASHES_TARGETS, CRASH_DETAIL)

    async def _forward(self, call):
        """Send the request until a target responds; return the response."""
        while True:
            if self._must_relay(call):
                response = await self._relay_call(call)
                if response is not None:
                    return response
                continue
            known = await self._find_target(call)
            now = self._clock.now()
            # It may have been blocked while it waited.
            if self._guard.is_blocked(call.digest, now):
                self._give_up(call, Reason.CRASHES_TARGETS, CRASH_DETAIL)
            if call.attempts and not self._may_send_again(call, now):
                self._give_up(
                    call, Reason.TARGET_SHED, 'no further attempt allowed'
                )
            outcome = await self._send_hedged(call, known)
            response = self._handle_outcome(call, outcome)
            if response is not None:
                return response

    def _must_relay(self, call):
        """Return whether another host has to send the request."""
        if not call.may_relay:
            return False
        return (
            self._paths.is_cut
            or call.connect_failures >= RELAYED_CONNECT_FAILURES
            or (call.connect_failures > 0 and self._are_all_tried(call))
        )

    def _are_all_tried(self, call):
        return all(
            known.target.instance in call.excluded
            for known in self._directory.list_targets(call.service)
        )

    async def _relay_call(self, call):
        """Let another host send the request.

        Returns the response, or None if the request may be sent again.
        """
        match await self._relay.send(call, self._get_version()):
            case relay_module.Relayed() as outcome:
                if not outcome.may_be_served_elsewhere:
                    return self._take_relayed_response(call, outcome)
                self._end_relaying(call, 'no other host reaches the targets')
            case relay_module.NotRelayed(detail):
                self._end_relaying(call, detail)
            case relay_module.RelayFailed(detail):
                self._metrics.count_relay('failed')
                call.attempts += 1
                call.may_have_run = True
                call.failure = Failed(FaultKind.BROKEN, detail)
                if (
                    not call.route.idempotent
                    or call.attempts >= call.route.max_targets
                ):
                    self._give_up(call, Reason.TARGET_BROKEN, detail)
        return None

    def _take_relayed_response(self, call, outcome):
        refusal = outcome.refusal
        self._metrics.count_relay('refused' if refusal else 'answered')
        if (
            refusal is not None
            and refusal.verdict is Verdict.NOT_RUN
            and call.may_have_run
        ):
            self._give_up(call, refusal.reason, RELAY_REFUSAL_DETAIL)
        if refusal is not None:
            outcome.response.refusal = verdicts.Refusal(
                refusal.reason, RELAY_REFUSAL_DETAIL, refusal.verdict
            )
        return outcome.response

    def _end_relaying(self, call, detail):
        """Let the call use this host's own paths, unless they are cut."""
        self._metrics.count_relay('not sent')
        call.may_relay = False
        if self._paths.is_confirmed(self._clock.now()):
            self._give_up(
                call,
                Reason.TARGET_UNREACHABLE,
                f'this host reaches no target: {detail}',
                path_tester.TEST_INTERVAL_S,
            )

    async def _find_target(self, call):
        """Return the target to send to, after a wait for a slot if needed."""
        turn = self._kind_urgency.make_turn(
            call.service,
            call.route,
            call.request.arrived_at,
            call.deadline,
            call.is_surplus,
        )
        cause = 'others go first'
        if not self._waiting.must_yield(call.service, call.priority, turn):
            known = self._try_find_target(call)
            if known is not None:
                return known
            cause = 'no free slot'
        now = self._clock.now()
        if call.wait_deadline is None:
            call.wait_deadline = now + self._kind_urgency.get_longest_wait(
                call.service, call.route, call.deadline - now
            )
            # A request that was accepted once stays so after a rejection.
            self._refuse_without_time(call, turn, cause, now)
        with self._queue(call, turn, now) as entry:
            while (known := self._take_turn(call, entry)) is None:
                if self._clock.now() >= call.wait_deadline:
                    self._give_up(
                        call,
                        Reason.NO_CAPACITY,
                        'no target has a free slot',
                        call.retry_after_s,
                    )
                await self._waiting.wait(entry, WAIT_POLL_INTERVAL_S)
            entry.has_slot = True
        return known

    def _refuse_without_time(self, call, turn, cause, now):
        """Refuse a request whose expected wait is longer than it may wait."""
        outcome = self._expected_waits.check(
            call.service, call.priority, turn, call.wait_deadline - now, now
        )
        if outcome.expected_s is not None:
            call.queue_fields = {
                'wait_cause': cause,
                'expected_wait_ms': round(outcome.expected_s * 1000),
                'ahead': outcome.ahead,
                'is_deferrable': turn.is_deferrable,
                'is_surplus': turn.is_surplus,
            }
        match outcome:
            case expected_wait.Refused(expected_s, _, retry_after_s):
                self._metrics.count_queued(call.service, 'refused on arrival')
                self._give_up(
                    call,
                    Reason.NO_CAPACITY,
                    f'the expected wait of {expected_s:.2f} s is too long',
                    expected_wait.limit_retry_after(
                        retry_after_s, call.deadline - now
                    ),
                )

    def _take_turn(self, call, entry):
        """Return a target for a waiting request, or None if not yet."""
        now = self._clock.now()
        known = None
        if self._waiting.is_next(entry, now):
            known = self._try_find_target(call)
        if known is None:
            entry.offered_at = None
        elif now < call.wait_deadline and self._waiting.get_handoff_wait(
            entry, now
        ):
            return None
        return known

    @contextlib.contextmanager
    def _queue(self, call, turn, now):
        """Queue the request, which the peers learn, during the block."""
        entry = self._waiting.add(
            call.service,
            call.priority,
            call.workspace and call.workspace.name,
            now,
            call.wait_deadline - now,
            turn,
        )
        self._reports.schedule_update()
        try:
            yield entry
        finally:
            self._waiting.remove(entry)
            self._waiting.wake()
            if call.queue_fields:
                self._metrics.count_queued(
                    call.service,
                    'got a slot' if entry.has_slot else 'got none',
                )
            call.waited_s += self._clock.now() - now
            self._reports.schedule_update()

    def _try_find_target(self, call):
        """Return a target with a free slot, or None if one may come free.

        Refuses the request if it can't be served in its time.
        """
        now = self._clock.now()
        remaining_s = call.deadline - now
        if remaining_s < target_sender.MIN_REMAINING_S:
            self._give_up(call, Reason.DEADLINE_EXCEEDED, 'deadline reached')
        work_s = self._health.get_mean_latency(call.service)
        if now + work_s > self._stop_deadline:
            self._give_up(call, Reason.HOST_OVERLOADED, STOP_DETAIL)
        match self._choose(call, now):
            case balancing.Chosen(known, _):
                return known
            case balancing.Full(wait_s):
                is_hopeless = wait_s + work_s > remaining_s
            case balancing.NoTarget():
                wait_s = NO_TARGET_RETRY_S
                is_hopeless = bool(call.attempts)
        call.retry_after_s = wait_s
        if is_hopeless:
            self._give_up(
                call, Reason.NO_CAPACITY, 'no target has a free slot', wait_s
            )
        return None

    def _choose(self, call, now):
        kilobytes = len(call.request.body) / 1024
        is_cautious = not call.route.idempotent
        return self._balancer.choose(
            call.service,
            now,
            kilobytes,
            call.route.idempotent,
            call.excluded,
            lambda instance: self._pools.has_idle(instance, is_cautious),
            self._kind_urgency.get_queue_per_slot(call.service, call.route),
        )

    def _may_send_again(self, call, now):
        if call.attempts >= call.route.max_targets:
            return False
        domain_share = self._fleet.get_domain_share(now)
        hosts = len(self._fleet.members)
        if not self._budgets.take(call.service, now, domain_share, hosts):
            self._metrics.count_denied_retry(call.service)
            return False
        return True

    def _give_up(self, call, reason, detail, retry_after_s=None):
        """Refuse the request, or raise the target's error response if any."""
        if call.failure is not None and call.failure.response is not None:
            raise _TargetFailure(call.failure.response)
        if call.may_have_run:
            kind = call.failure.kind
            reason = (
                Reason.TARGET_TIMEOUT
                if kind is FaultKind.SILENT
                else Reason.TARGET_BROKEN
            )
            refusals.refuse(
                reason, call.failure.detail, verdict=Verdict.MAY_HAVE_RUN
            )
        refusals.refuse(reason, detail, retry_after_s or NO_TARGET_RETRY_S)

    def _handle_outcome(self, call, outcome):
        """Return the response for the caller, or None to retry."""
        match outcome:
            case Answered(response):
                return self._make_caller_response(response)
            case Unreachable(detail):
                call.attempts -= 1
                call.connect_failures += 1
                if call.connect_failures > MAX_CONNECT_FAILURES:
                    self._give_up(call, Reason.TARGET_UNREACHABLE, detail)
            case Rejected():
                pass
            case Failed() as failure:
                call.may_have_run = True
                call.failure = failure
                if not call.route.idempotent or self._may_crash_another_target(
                    call
                ):
                    self._give_up(call, Reason.TARGET_BROKEN, failure.detail)
        return None

    def _may_crash_another_target(self, call):
        """Return whether one more crash would block the request."""
        crashes = self._guard.count(call.digest, self._clock.now())
        return crashes >= crash_guard.BLOCKING_CRASHES - 1

    def _make_caller_response(self, response):
        headers = self._header_codec.filter_response_headers(
            header_tools.remove_hop_by_hop(response.headers)
        )
        headers = [pair for pair in headers if pair[0] != b'content-length']
        return callers.CallerResponse(response.status, headers, response.body)

    async def _send_hedged(self, call, known):
        """Send the request; return the outcome of the first success.

        An idempotent request is hedged: it goes to a second target, too,
        when the first one takes unusually long.
        """
        if not call.route.idempotent:
            return await self._sender.send(call, known)
        tasks = {asyncio.create_task(self._sender.send(call, known))}
        try:
            done, _ = await asyncio.wait(
                tasks, timeout=self._sender.get_slow_threshold(call)
            )
            hedge = None if done else self._choose_hedge(call)
            if hedge is not None:
                tasks.add(asyncio.create_task(self._sender.send(call, hedge)))
            return await self._wait_for_response(call, tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _wait_for_response(self, call, tasks):
        """Return the first response of several sends, or the last failure."""
        while True:
            done, _ = await asyncio.wait(
                tasks, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                tasks.discard(task)
                outcome = task.result()
                if isinstance(outcome, Answered) or not tasks:
                    return outcome
                self._handle_outcome(call, outcome)

    def _choose_hedge(self, call):
        now = self._clock.now()
        if self._guard.count(call.digest, now):
            return None
        choice = self._choose(call, now)
        if not isinstance(choice, balancing.Chosen):
            return None
        work_s = self._health.get_mean_latency(call.service)
        if choice.wait_s + work_s > call.deadline - now:
            return None
        return choice.known if self._may_send_again(call, now) else None


def _refuse_after_error(call, error):
    """Log an unexpected error; return the refusal of its request."""
    eliot.log_message(
        'request_error',
        id=call and call.request_id,
        error=repr(error),
        traceback=traceback.format_exc(),
    )
    is_sent = call is not None and bool(call.sends)
    return verdicts.Refusal(
        Reason.INTERNAL_ERROR,
        f'unexpected error: {type(error).__name__}',
        Verdict.MAY_HAVE_RUN if is_sent else Verdict.NOT_RUN,
    )


def _describe_outcome(response):
    refusal = response.refusal
    if refusal is None:
        return 'answered'
    return f'{refusal.reason.value}: {refusal.detail}'


class _TargetFailure(Exception):
    """Carries a target's error response when no retry is possible."""

    def __init__(self, response):
        super().__init__('target failed')
        self.response = response
