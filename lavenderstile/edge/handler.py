"""Path of a request: checks, choice of targets, sends, answer."""

import asyncio
import random

import eliot
import h11

from .. import errors
from .. import headers as header_tools
from .. import verdicts
from . import balancing
from . import callers
from . import calls
from . import crash_guard
from . import health as health_module
from . import http_client
from . import refusals

Answered = calls.Answered
Failed = calls.Failed
FaultKind = health_module.FaultKind
Reason = verdicts.Reason
Rejected = calls.Rejected
Unreachable = calls.Unreachable
Verdict = verdicts.Verdict

# Used where neither the caller nor the route sets a limit.
DEFAULT_TIMEOUT_S = 30.0

# A send with less time left is not worth a target's slot.
MIN_REMAINING_S = 0.02

# An answer that a target gives up on in time arrives this much later.
RESPONSE_MARGIN_S = 0.08

# Connects to further targets after failed ones; nothing was sent on them.
MAX_CONNECT_FAILURES = 3

# A request whose answer takes longer than this multiple of the usual time
# counts as evidence against its target before it ends.
SLOW_RESPONSE_FACTOR = 2.5
MIN_SLOW_RESPONSE_S = 0.6

# Requests wait at the host at most for this part of their time for a target
# with room, and look for one in this interval.
MAX_WAIT_SHARE = 0.3
WAIT_POLL_INTERVAL_S = 0.03

# Retry-After where only a change of the targets can help.
NO_TARGET_RETRY_S = 0.3

MAX_LOGGED_SENDS = 4


def refuse(reason, detail, retry_after_s=None, verdict=Verdict.NOT_RUN):
    """Raise the refusal of a request."""
    raise errors.RefusedError(
        verdicts.Refusal(reason, detail, verdict, retry_after_s)
    )


class RequestHandler:
    """Serves the requests of one host."""

    def __init__(self, parts):
        self._clock = parts.clock
        self._directory = parts.directory
        self._dialect = parts.dialect
        self._fleet = parts.fleet
        self._allowances = parts.allowances
        self._balancer = parts.balancer
        self._budgets = parts.budgets
        self._health = parts.health
        self._outcomes = parts.outcomes
        self._pools = parts.pools
        self._guard = parts.guard
        self._reports = parts.reports
        self._metrics = parts.metrics
        self._random = random.Random()

    async def handle(self, request):
        """Return the `CallerResponse` to a request."""
        call = None
        try:
            call = self._admit(request)
            answer = await self._forward(call)
            outcome = 'answered'
        except _TargetFailure as passed:
            answer = self._make_caller_response(passed.answer)
            outcome = 'failure of the target'
        except errors.RefusedError as error:
            answer = refusals.make_answer(error.refusal)
            outcome = f'{error.refusal.reason.value}: {error.refusal.detail}'
        except asyncio.CancelledError:
            self._log(call, request, 'caller left', 0)
            raise
        self._log(call, request, outcome, answer.status)
        return answer

    def make_refusal(self, status, detail):
        """Return the answer to a request that cannot be read."""
        reason = {
            413: Reason.BODY_TOO_LARGE,
            503: Reason.HOST_OVERLOADED,
            408: Reason.DEADLINE_EXCEEDED,
        }.get(status, Reason.HEADER_INVALID)
        refusal = verdicts.Refusal(reason, detail, Verdict.NOT_RUN)
        return refusals.make_answer(refusal)

    def record_fault(self, status, detail):
        """Log a request that cannot be read."""
        self._metrics.count_request(f'unreadable_{status}')
        eliot.log_message('request_unreadable', status=status, detail=detail)

    def get_body_timeout(self, request):
        """Return how long a request's body may take in seconds."""
        facts = self._dialect.read_request(request.headers)
        return facts.timeout_s or DEFAULT_TIMEOUT_S

    def _log(self, call, request, outcome, status):
        took_s = self._clock.now() - request.arrived_at
        self._metrics.record_request(outcome.partition(':')[0], took_s)
        if call is not None and call.service is not None:
            failed = int(status >= 500)
            self._outcomes.record(call.service, 1, failed, self._clock.now())
            if failed:
                self._budgets.record_failure(call.service)
        request_id = (
            self._dialect.read_request(request.headers).request_id
            if call is None
            else call.request_id
        )
        eliot.log_message(
            'request',
            id=request_id,
            path=request.path,
            service=call and call.service,
            workspace=call and call.workspace and call.workspace.name,
            sends=call and call.sends[:MAX_LOGGED_SENDS],
            status=status,
            outcome=outcome,
            took_ms=round(took_s * 1000),
            version=self._get_version(),
        )

    def _get_version(self):
        configuration = self._directory.configuration
        return configuration and configuration.version

    def _admit(self, request):
        """Check a request; return its `Call`."""
        configuration = self._directory.configuration
        if configuration is None:
            refuse(
                Reason.HOST_OVERLOADED,
                'no configuration yet',
                NO_TARGET_RETRY_S,
            )
        facts = self._dialect.read_request(request.headers)
        if facts.fault is not None:
            refuse(Reason.HEADER_INVALID, facts.fault)
        route = configuration.find_route(
            request.host, request.path.partition('?')[0]
        )
        if route is None:
            refuse(Reason.ROUTE_UNKNOWN, 'no route for host and path')
        workspace = self._find_workspace(configuration, route, facts.key)
        timeout_s = min(
            facts.timeout_s or DEFAULT_TIMEOUT_S,
            route.timeout_s or DEFAULT_TIMEOUT_S,
        )
        deadline = request.arrived_at + timeout_s
        call = calls.Call(request, facts, route, workspace, deadline)
        call.service = self._pick_service(route)
        self._refuse_crashing_request(call)
        if workspace is not None:
            wait_s = self._allowances.take(workspace.name, self._clock.now())
            if wait_s:
                eliot.log_message(
                    'rate_refused',
                    id=facts.request_id,
                    workspace=workspace.name,
                    **self._allowances.describe(workspace.name),
                )
                refuse(
                    Reason.RATE_EXCEEDED,
                    f'workspace {workspace.name} is over its rate',
                    wait_s,
                )
        self._budgets.record_request(call.service, self._clock.now())
        return call

    def _find_workspace(self, configuration, route, key):
        if not configuration.workspaces:
            return None
        workspace = configuration.find_workspace(key) if key else None
        if workspace is None and not route.is_open:
            reason = Reason.KEY_UNKNOWN if key else Reason.KEY_MISSING
            refuse(reason, 'the route needs the key of a workspace')
        return workspace

    def _pick_service(self, route):
        if len(route.parts) == 1:
            return route.parts[0].service
        weights = [part.weight for part in route.parts]
        return self._random.choices(route.parts, weights)[0].service

    def _refuse_crashing_request(self, call):
        space = call.workspace.name if call.workspace else ''
        request = call.request
        call.digest = crash_guard.make_digest(
            request.method, request.path, space, request.body
        )
        if self._guard.is_blocked(call.digest, self._clock.now()):
            refuse(
                Reason.CRASHES_TARGETS,
                'this request has crashed the targets that ran it',
            )

    async def _forward(self, call):
        """Send the request until a target answers; return the answer."""
        held_until = None
        while True:
            now = self._clock.now()
            left_s = call.deadline - now
            if left_s < MIN_REMAINING_S:
                self._give_up(call, Reason.DEADLINE_EXCEEDED, 'out of time')
            choice = self._choose(call, now)
            match choice:
                case balancing.Chosen(known, _):
                    if call.tries and not self._may_send_again(call, now):
                        self._give_up(
                            call, Reason.TARGET_SHED, 'no further send allowed'
                        )
                    outcome = await self._try(call, known)
                    answer = self._handle_outcome(call, outcome)
                    if answer is not None:
                        return answer
                    continue
                case balancing.Full(wait_s):
                    work_s = self._health.get_work(call.service)
                    is_hopeless = wait_s + work_s > left_s
                case balancing.Nowhere():
                    wait_s = NO_TARGET_RETRY_S
                    is_hopeless = bool(call.tries)
            if held_until is None:
                held_until = now + MAX_WAIT_SHARE * left_s
            if is_hopeless or now >= held_until:
                self._give_up(
                    call, Reason.NO_CAPACITY, 'no target has room', wait_s
                )
            await asyncio.sleep(WAIT_POLL_INTERVAL_S)

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
        )

    def _may_send_again(self, call, now):
        if call.tries >= call.route.max_targets:
            return False
        part = self._fleet.get_domain_part(now)
        hosts = len(self._fleet.members)
        if not self._budgets.take(call.service, now, part, hosts):
            self._metrics.count_denied_retry(call.service)
            return False
        return True

    def _give_up(self, call, reason, detail, retry_after_s=None):
        """End a request without a target's answer, or with its failure."""
        if call.failure is not None and call.failure.answer is not None:
            raise _TargetFailure(call.failure.answer)
        if call.may_have_run:
            kind = call.failure.kind
            reason = (
                Reason.TARGET_TIMEOUT
                if kind is FaultKind.SILENT
                else Reason.TARGET_BROKEN
            )
            refuse(reason, call.failure.detail, verdict=Verdict.MAY_HAVE_RUN)
        refuse(reason, detail, retry_after_s or NO_TARGET_RETRY_S)

    def _handle_outcome(self, call, outcome):
        """Return the answer for the caller, or None to try further."""
        match outcome:
            case Answered(answer):
                return self._make_caller_response(answer)
            case Unreachable(detail):
                call.tries -= 1
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
        """Return whether another send could crash one more target."""
        crashes = self._guard.count(call.digest, self._clock.now())
        return crashes >= crash_guard.BLOCKING_CRASHES - 1

    def _make_caller_response(self, answer):
        headers = self._dialect.filter_response_headers(
            header_tools.remove_hop_by_hop(answer.headers)
        )
        headers = [pair for pair in headers if pair[0] != b'content-length']
        return callers.CallerResponse(answer.status, headers, answer.body)

    async def _try(self, call, known):
        """Send the request; return the outcome that counts.

        A request that may run more than once goes to a second target as
        well when the first one takes unusually long.
        """
        if not call.route.idempotent:
            return await self._send(call, known)
        tasks = {asyncio.create_task(self._send(call, known))}
        try:
            done, _ = await asyncio.wait(
                tasks, timeout=self._get_slow_threshold(call)
            )
            second = None if done else self._choose_hedge(call)
            if second is not None:
                tasks.add(asyncio.create_task(self._send(call, second)))
            return await self._take_first(call, tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _take_first(self, call, tasks):
        """Return the first answer of several sends, or the last failure."""
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
        choice = self._choose(call, now)
        if not isinstance(choice, balancing.Chosen):
            return None
        work_s = self._health.get_work(call.service)
        if choice.wait_s + work_s > call.deadline - now:
            return None
        return choice.known if self._may_send_again(call, now) else None

    async def _send(self, call, known):
        """Send the request to one target; return the outcome."""
        target = known.target
        now = self._clock.now()
        number = len(call.sends)
        call.excluded.add(target.instance)
        call.tries += 1
        call.sends.append(
            f'{target.instance}@{target.domain}'
            f' +{(now - call.request.arrived_at) * 1000:.0f}ms'
        )
        self._balancer.begin(known, now)
        is_urgent = self._balancer.is_critical(known, now)
        self._reports.schedule_update(is_urgent=is_urgent)
        try:
            outcome = await self._exchange(call, known)
        except BaseException:
            call.sends[number] += ' cancelled'
            raise
        finally:
            is_urgent |= self._balancer.is_critical(known, now)
            self._balancer.end(known)
            self._reports.schedule_update(is_urgent=is_urgent)
        call.sends[number] += f' {calls.describe(outcome)}'
        self._metrics.count_send(call.service, type(outcome).__name__.lower())
        return outcome

    async def _exchange(self, call, known):
        target = known.target
        instance = target.instance
        left_s = call.deadline - self._clock.now()
        try:
            connection = await self._pools.acquire(
                target, left_s, not call.route.idempotent
            )
        except http_client.ConnectError as error:
            self._record_unreachable(instance, str(error))
            return Unreachable(str(error))
        fault = self._recheck_choice(call, known)
        left_s = call.deadline - self._clock.now()
        if fault is not None or left_s < MIN_REMAINING_S:
            self._pools.release(target, connection, None)
            return Unreachable(fault or 'out of time')
        return await self._talk(call, known, connection, left_s)

    def _recheck_choice(self, call, known):
        """Return what has changed since the choice, or None."""
        current = self._directory.targets.get(known.target.instance)
        if current is None or current.target.is_draining:
            return 'target has left'
        if known.target.domain in self._directory.evacuated:
            return 'failure domain was taken out of service'
        configuration = self._directory.configuration
        if (
            call.workspace is not None
            and not call.route.is_open
            and configuration.find_workspace(call.key) is None
        ):
            refuse(Reason.KEY_UNKNOWN, 'the key was withdrawn')
        return None

    async def _talk(self, call, known, connection, left_s):
        target = known.target
        request = self._make_request(call, target, left_s)
        started = self._clock.now()
        patience_s = self._get_slow_threshold(call)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            patience_s, self._record_slow_response, call, known, patience_s
        )
        try:
            async with asyncio.timeout(left_s + RESPONSE_MARGIN_S):
                answer = await connection.exchange(
                    request,
                    call.request.body,
                    lambda answer: self._is_matching_response(call, answer),
                )
        except TimeoutError:
            self._pools.drop(target.instance)
            self._record_fault(target.instance, FaultKind.SILENT)
            return Failed(FaultKind.SILENT, f'{target.instance}: no answer')
        except http_client.ConnectionBroken as error:
            return self._handle_broken_connection(
                call, known, connection, error
            )
        finally:
            timer.cancel()
        took_s = self._clock.now() - started
        return self._classify_response(call, known, connection, answer, took_s)

    def _get_slow_threshold(self, call):
        work_s = self._health.get_work(call.service)
        return max(MIN_SLOW_RESPONSE_S, SLOW_RESPONSE_FACTOR * work_s)

    def _make_request(self, call, target, left_s):
        headers = header_tools.remove_hop_by_hop(call.request.headers)
        space = call.workspace.name if call.workspace else None
        headers = self._dialect.write_request(
            headers, call.request_id, left_s, target.instance, space
        )
        headers = [pair for pair in headers if pair[0] != b'content-length']
        body = call.request.body
        if body or call.request.method in ('POST', 'PUT', 'PATCH'):
            headers.append((b'content-length', str(len(body)).encode()))
        return h11.Request(
            method=call.request.method,
            target=call.request.path,
            headers=headers,
        )

    def _is_matching_response(self, call, answer):
        facts = self._dialect.read_response(answer.status, answer.headers)
        return facts.request_id == call.request_id or (
            facts.request_id is None and answer.status in (400, 421)
        )

    def _record_slow_response(self, call, known, waited_s):
        """An answer takes unusually long; tell before it ends."""
        now = self._clock.now()
        instance = known.target.instance
        self._health.record_latency(instance, call.service, waited_s, now)
        self._record_fault(instance, FaultKind.SILENT)

    def _handle_broken_connection(self, call, known, connection, error):
        instance = known.target.instance
        now = self._clock.now()
        if not error.response_started and not connection.is_reused:
            self._guard.record(call.digest, instance, now)
        self._pools.drop(instance)
        self._record_fault(instance, FaultKind.BROKEN)
        return Failed(FaultKind.BROKEN, f'{instance}: {error}')

    def _classify_response(self, call, known, connection, answer, took_s):
        target = known.target
        instance = target.instance
        facts = self._dialect.read_response(answer.status, answer.headers)
        self._pools.release(target, connection, facts.keep_alive_s)
        now = self._clock.now()
        if facts.wrong_instance:
            self._pools.drop(instance)
            self._record_unreachable(instance, 'address has another target')
            return Rejected(f'{instance}: address has another target')
        if facts.not_run:
            self._record_fault(instance, FaultKind.SHED)
            return Rejected(f'{instance}: rejected with {answer.status}')
        is_success = 200 <= answer.status < 300
        if (is_success and not facts.is_signed) or facts.is_encoded:
            self._record_fault(instance, FaultKind.BROKEN)
            return Failed(
                FaultKind.BROKEN, f'{instance}: answer is not its own'
            )
        if answer.status == 504 and took_s < self._get_slow_threshold(call):
            # The request had too little time; that says nothing about the
            # target.
            return Failed(FaultKind.SILENT, f'{instance}: status 504', answer)
        if answer.status >= 500:
            self._record_fault(instance, FaultKind.ERROR)
            return Failed(
                FaultKind.ERROR,
                f'{instance}: status {answer.status}',
                answer,
            )
        self._guard.clear(call.digest)
        distant = self._balancer.note_load(instance, facts.load, now)
        self._health.record_success(instance, call.service, took_s, now)
        self._reports.add_success(instance, call.service, took_s, distant)
        return Answered(answer)

    def _record_fault(self, instance, kind):
        now = self._clock.now()
        is_avoided = self._health.record_fault(instance, kind, now)
        self._reports.add_fault(instance, kind)
        self._metrics.count_fault(kind.value)
        if is_avoided:
            eliot.log_message(
                'target_avoided',
                target=instance,
                fault=kind.value,
                belief=round(self._health.get_belief(instance, now), 3),
            )

    def _record_unreachable(self, instance, detail):
        block_s = self._health.record_path_fault(instance, self._clock.now())
        self._pools.drop(instance)
        self._metrics.count_fault(FaultKind.REFUSED.value)
        eliot.log_message(
            'target_unreachable',
            target=instance,
            detail=detail,
            block_s=block_s,
        )


class _TargetFailure(Exception):
    """No further send is possible: the target's own failure is passed on."""

    def __init__(self, answer):
        super().__init__('target failed')
        self.answer = answer
