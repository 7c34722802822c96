"""Sends of requests to targets: connection, exchange and outcome."""

import asyncio

import eliot
import h11

from .. import headers as header_tools
from .. import verdicts
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

# With less time than this before the deadline, a send would only waste a
# target's slot.
MIN_REMAINING_S = 0.02

# Extra wait after the deadline for the error response of a target that ends
# a request at its deadline.
RESPONSE_MARGIN_S = 0.08

# A response that takes longer than this multiple of the service's usual time
# counts against its target while the request still runs.
SLOW_RESPONSE_FACTOR = 2.5
MIN_SLOW_RESPONSE_S = 0.6

# Faults that a broken path causes as well.
PATH_FAULTS = frozenset((FaultKind.BROKEN, FaultKind.SILENT))


class TargetSender:
    """Sends requests to targets, and records what their responses show."""

    def __init__(self, parts):
        self._clock = parts.clock
        self._directory = parts.directory
        self._header_codec = parts.header_codec
        self._balancer = parts.balancer
        self._health = parts.health
        self._pools = parts.pools
        self._paths = parts.paths
        self._pauses = parts.pauses
        self._path_tester = parts.path_tester
        self._target_limits = parts.target_limits
        self._guard = parts.guard
        self._reports = parts.reports
        self._waiting = parts.waiting
        self._metrics = parts.metrics

    async def send(self, call, known):
        """Send the request to a target; record load and return the outcome."""
        target = known.target
        now = self._clock.now()
        send_index = len(call.sends)
        call.excluded.add(target.instance)
        call.attempts += 1
        call.sends.append(
            f'{target.instance}@{target.domain}'
            f' +{(now - call.request.arrived_at) * 1000:.0f}ms'
        )
        self._balancer.begin(known, now)
        is_urgent = self._balancer.is_critical(known, now)
        self._reports.schedule_update(is_urgent=is_urgent)
        try:
            outcome = await self._send_checked(call, known)
        except BaseException:
            call.sends[send_index] += ' cancelled'
            raise
        finally:
            is_urgent |= self._balancer.is_critical(known, now)
            self._balancer.end(known)
            self._waiting.wake()
            self._reports.schedule_update(is_urgent=is_urgent)
        call.sends[send_index] += f' {calls.describe(outcome)}'
        self._metrics.count_send(call.service, type(outcome).__name__.lower())
        return outcome

    async def _send_checked(self, call, known):
        target = known.target
        instance = target.instance
        remaining_s = call.deadline - self._clock.now()
        try:
            connection = await self._pools.acquire(
                target, remaining_s, not call.route.idempotent
            )
        except http_client.ConnectError as error:
            self._record_unreachable(instance, str(error))
            self._path_tester.record_failure(instance, str(error))
            call.unreachable.add(instance)
            return Unreachable(str(error))
        if not connection.uses:
            self._path_tester.record_success(instance)
        fault = self._recheck_choice(call, known)
        remaining_s = call.deadline - self._clock.now()
        if fault is not None or remaining_s < MIN_REMAINING_S:
            self._pools.release(target, connection, None)
            return Unreachable(fault or 'deadline reached')
        return await self._exchange_on(call, known, connection, remaining_s)

    def _recheck_choice(self, call, known):
        """Return why the chosen target is no longer usable, or None.

        Refuses the request if its key was withdrawn after admission.
        """
        current = self._directory.targets.get(known.target.instance)
        if current is None or not current.takes_requests:
            return 'target was removed or is draining'
        if known.target.domain in self._directory.evacuated:
            return 'failure domain was taken out of service'
        if self._pauses.get_wait(current.target, self._clock.now()):
            return 'target has asked for a pause'
        configuration = self._directory.configuration
        if (
            call.workspace is not None
            and not call.route.is_public
            and configuration.find_workspace(call.key) is None
        ):
            refusals.refuse(Reason.KEY_UNKNOWN, 'the key was withdrawn')
        return None

    async def _exchange_on(self, call, known, connection, remaining_s):
        target = known.target
        request = self._make_request(call, target, remaining_s)
        started = self._clock.now()
        threshold_s = self.get_slow_threshold(call)
        loop = asyncio.get_running_loop()
        timer = loop.call_later(
            threshold_s, self._record_slow_response, call, known, threshold_s
        )
        limit_s = remaining_s + RESPONSE_MARGIN_S
        try:
            async with asyncio.timeout(limit_s):
                response = await connection.exchange(
                    request,
                    call.request.body,
                    lambda response: self._is_matching_response(
                        call, connection, response
                    ),
                    limit_s,
                )
        except TimeoutError:
            self._pools.drop(target.instance)
            self._record_fault(target.instance, FaultKind.SILENT)
            return Failed(
                FaultKind.SILENT,
                f'{target.instance}: no response before the deadline',
            )
        except http_client.ConnectionBroken as error:
            return self._handle_broken_connection(
                call, known, connection, error
            )
        finally:
            timer.cancel()
        duration_s = self._clock.now() - started
        return self._classify_response(
            call, known, connection, response, duration_s
        )

    def get_slow_threshold(self, call):
        """Return after how many seconds a response is unusually slow."""
        work_s = self._health.get_mean_latency(call.service)
        return max(MIN_SLOW_RESPONSE_S, SLOW_RESPONSE_FACTOR * work_s)

    def _make_request(self, call, target, remaining_s):
        headers = header_tools.remove_hop_by_hop(call.request.headers)
        workspace_name = call.workspace.name if call.workspace else None
        headers = self._header_codec.write_request(
            headers,
            call.request_id,
            remaining_s,
            target.instance,
            workspace_name,
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

    def _is_matching_response(self, call, connection, response):
        """Return whether a response belongs to the request.

        A target that can't read the id, or is another one, responds without
        it. On a connection that was used before, such a response may be an
        earlier one that is sent once more.
        """
        metadata = self._header_codec.read_response(
            response.status, response.headers
        )
        return metadata.request_id == call.request_id or (
            metadata.request_id is None
            and response.status in (400, 421)
            and not connection.is_reused
        )

    def _record_slow_response(self, call, known, waited_s):
        """Record a slow response while the request still runs."""
        now = self._clock.now()
        instance = known.target.instance
        self._health.record_latency(instance, call.service, waited_s, now)
        self._record_fault(instance, FaultKind.SILENT)

    def _handle_broken_connection(self, call, known, connection, error):
        instance = known.target.instance
        now = self._clock.now()
        is_crash = error.peer_closed and not self._paths.is_confirmed(now)
        if is_crash:
            run = crash_guard.identify_run(known.target)
            self._guard.record(call.digest, run, now)
        eliot.log_message(
            'crash_suspected',
            id=call.request_id,
            digest=call.digest,
            target=instance,
            counted=is_crash,
            reused=connection.is_reused,
            response_started=error.response_started,
            crashes=self._guard.count(call.digest, now),
        )
        if not error.response_started:
            self._path_tester.suspect()
        self._pools.drop(instance)
        self._record_fault(instance, FaultKind.BROKEN)
        return Failed(FaultKind.BROKEN, f'{instance}: {error}')

    def _classify_response(
        self, call, known, connection, response, duration_s
    ):
        target = known.target
        instance = target.instance
        metadata = self._header_codec.read_response(
            response.status, response.headers
        )
        self._pools.release(target, connection, metadata.keep_alive_s)
        now = self._clock.now()
        if metadata.wrong_instance:
            self._pools.drop(instance)
            self._record_unreachable(
                instance, 'address belongs to another target'
            )
            return Rejected(f'{instance}: address belongs to another target')
        if metadata.is_leaving:
            self._record_leaving(target)
        if metadata.pause_s is not None:
            self._record_pause(target, metadata.pause_s)
        self._target_limits.record(
            instance, metadata.limit, now - duration_s, now
        )
        if metadata.not_run:
            self._record_fault(instance, FaultKind.SHED)
            self._balancer.record_rejection(instance, call.service, now)
            return Rejected(f'{instance}: rejected with {response.status}')
        is_success = 200 <= response.status < 300
        if (is_success and not metadata.is_signed) or metadata.is_encoded:
            self._record_fault(instance, FaultKind.BROKEN)
            return Failed(
                FaultKind.BROKEN,
                f'{instance}: response is unsigned or encoded',
            )
        if response.status == 504 and duration_s < self.get_slow_threshold(
            call
        ):
            # The deadline was shorter than the usual response time, so this
            # is no fault of the target.
            return Failed(
                FaultKind.SILENT, f'{instance}: status 504', response
            )
        is_error = response.status >= 500
        # Without the target's word that the request has not run, a status
        # that promises this must not reach the caller, who would repeat it.
        is_unproved = response.status in refusals.NOT_RUN_STATUSES
        if is_error:
            self._record_fault(instance, FaultKind.ERROR)
        if is_error or is_unproved:
            return Failed(
                FaultKind.ERROR,
                f'{instance}: status {response.status}',
                None if is_unproved else response,
            )
        self._guard.record_answer(call.digest, now)
        remote_load = self._balancer.record_load(instance, metadata.load, now)
        self._health.record_success(instance, call.service, duration_s, now)
        self._reports.add_success(
            instance, call.service, duration_s, remote_load
        )
        return Answered(response)

    def _record_leaving(self, target):
        """Send no more requests to a target that said that it leaves."""
        if self._directory.mark_leaving(target.instance, target.started_ms):
            eliot.log_message(
                'target_leaving', target=target.instance, sender=None
            )
            self._reports.schedule_update()

    def _record_pause(self, target, pause_s):
        """Send nothing for a while to a target that turned a request away."""
        if self._pauses.record(target, pause_s, self._clock.now()):
            eliot.log_message(
                'target_paused', target=target.instance, pause_s=pause_s
            )

    def _record_fault(self, instance, kind):
        """Record a fault of a target and report it to the domain.

        Connections that end while this host is cut off are no fault of the
        target, which others may reach.
        """
        now = self._clock.now()
        if self._paths.is_cut and kind in PATH_FAULTS:
            return
        is_avoided = self._health.record_fault(instance, kind, now)
        self._reports.add_fault(instance, kind, is_avoided)
        self._metrics.count_fault(kind.value)
        if is_avoided:
            eliot.log_message(
                'target_avoided',
                target=instance,
                fault=kind.value,
                belief=round(
                    self._health.get_failure_probability(instance, now), 3
                ),
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
