"""Fair queue: round robin by workspace, bounded by request deadlines."""

import collections
import dataclasses
import itertools

from . import verdicts

# Entries of a workspace that are tried if its first one cannot run on any
# free target; bounds the work of one turn.
MAX_LOOKAHEAD = 4
# Bounds memory use while the service time is unknown or no slot is held.
MAX_ENTRIES = 10_000
MIN_RETRY_AFTER_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Shed:
    """A queued request whose deadline cannot be met."""

    request_id: str
    refusal: verdicts.Refusal


class FairQueue:
    """Waiting requests, served round robin by workspace.

    Each workspace has a FIFO queue. A workspace that becomes active joins
    the round at its end, so that it waits for at most one turn of each other
    workspace, whatever their load.
    """

    __slots__ = ('_queues', '_workspace_by_request')

    def __init__(self):
        # Queues by workspace, in the order of their next turn.
        self._queues = collections.OrderedDict()
        self._workspace_by_request = {}

    def __len__(self):
        return len(self._workspace_by_request)

    def __contains__(self, request_id):
        return request_id in self._workspace_by_request

    @property
    def lengths(self):
        """Number of waiting requests by workspace."""
        return {name: len(queue) for name, queue in self._queues.items()}

    @property
    def requests(self):
        """All waiting requests, workspace by workspace."""
        return [
            request
            for queue in self._queues.values()
            for request in queue.values()
        ]

    def push(self, request, now, interval_s, run_s=0.0):
        """Queue a request, or refuse it if its deadline cannot be met.

        `interval_s` is the expected time between two grants; None means that
        it is unknown, and only the deadline itself bounds the wait.
        `run_s` is the time that the target needs after the wait.
        """
        if len(self) >= MAX_ENTRIES:
            return _refuse_deadline(
                interval_s or MIN_RETRY_AFTER_S, 'the queue is full'
            )
        position = len(self._queues.get(request.workspace, ()))
        wait_s = self._estimate_wait(request.workspace, position, interval_s)
        late_s = wait_s + run_s - (request.deadline - now)
        if late_s >= 0:
            return _refuse_deadline(late_s, f'wait of {wait_s:.3f} s')
        queue = self._queues.setdefault(
            request.workspace, collections.OrderedDict()
        )
        queue[request.request_id] = request
        self._workspace_by_request[request.request_id] = request.workspace
        return None

    def pop(self, try_start):
        """Serve the next turn; return the result of `try_start`, or None.

        `try_start(request)` returns None if the request cannot run now. The
        first workspace with a request that can run uses up its turn.
        """
        for workspace, queue in self._queues.items():
            for index, request in enumerate(queue.values()):
                if index == MAX_LOOKAHEAD:
                    break
                started = try_start(request)
                if started is not None:
                    self.remove(request.request_id)
                    if workspace in self._queues:
                        self._queues.move_to_end(workspace)
                    return started
        return None

    def remove(self, request_id):
        """Remove and return a request, or return None if it is not queued."""
        workspace = self._workspace_by_request.pop(request_id, None)
        if workspace is None:
            return None
        queue = self._queues[workspace]
        request = queue.pop(request_id)
        if not queue:
            del self._queues[workspace]
        return request

    def drop_late(self, ready_at):
        """Remove and return late requests at the heads of the queues.

        They would use up the turns of their workspaces. `ready_at` is the
        time at which a run that starts now would end.
        """
        late = [
            (request.request_id, ready_at - request.deadline)
            for queue in self._queues.values()
            for request in itertools.takewhile(
                lambda request: request.deadline <= ready_at, queue.values()
            )
        ]
        return [self._shed(request_id, late_s) for request_id, late_s in late]

    def expire(self, now, interval_s, run_s=0.0):
        """Remove and return the requests that cannot meet their deadline.

        The wait becomes longer than estimated at arrival when other
        workspaces become active or the service becomes slower.
        """
        late = []
        turn = 1
        ready_at = now + run_s
        iterators = [iter(queue.values()) for queue in self._queues.values()]
        while iterators:
            remaining = []
            for requests in iterators:
                for request in requests:
                    wait_s = turn * (interval_s or 0.0)
                    late_s = ready_at + wait_s - request.deadline
                    if late_s < 0:
                        turn += 1
                        remaining.append(requests)
                        break
                    late.append((request.request_id, late_s))
            iterators = remaining
        return [self._shed(request_id, late_s) for request_id, late_s in late]

    def _shed(self, request_id, late_s):
        self.remove(request_id)
        return Shed(
            request_id, _refuse_deadline(late_s, 'the queue became slower')
        )

    def _estimate_wait(self, workspace, position, interval_s):
        """Return the expected wait behind `position` entries of the queue.

        Until its turn, each other queue gets at most as many turns.
        """
        if interval_s is None:
            return 0.0
        turns = position + 1
        for name, queue in self._queues.items():
            if name != workspace:
                turns += min(len(queue), position + 1)
        return turns * interval_s


def _refuse_deadline(late_s, detail):
    return verdicts.Refusal(
        verdicts.Reason.QUEUE_DEADLINE,
        f'the request would not leave the queue before its deadline: {detail}',
        retry_after_s=max(late_s, MIN_RETRY_AFTER_S),
    )
