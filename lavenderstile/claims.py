"""Claims of idempotency keys: a request with a key runs at most once.

Three hosts, the replicas of a key, remember its claim. A request runs only if
a majority of them grants the claim.
"""

import collections
import heapq
import uuid

from . import errors
from . import hashing
from . import messages
from . import verdicts

REPLICA_COUNT = 3
# Keys whose creation time is further ahead of the clock are refused.
FUTURE_LIMIT_S = 5.0
# Maximum difference between the wall clocks of two hosts.
CLOCK_SKEW_S = 5.0
# Maximum time until a configuration change is in force on every host.
SPREAD_LIMIT_S = 5.0
# A replica grants only keys created at least this long after its memory
# began. The creation time of a key that ran just before can be in the future,
# and the clock of the entry host that accepted it can be ahead of the clock of
# the replica.
MEMORY_MARGIN_S = FUTURE_LIMIT_S + CLOCK_SKEW_S
# The same margin after a change of the fleet. Until the change is in force on
# every host, entry hosts and replicas without it still run such keys.
FLEET_MARGIN_S = SPREAD_LIMIT_S + MEMORY_MARGIN_S
DEFAULT_WINDOW_S = 900.0
# Replicas keep claims for longer than entry hosts accept keys, so that valid
# keys are not refused because of a difference between their clocks.
WINDOW_MARGIN_S = 2 * CLOCK_SKEW_S
# How long a replica remembers the end of an attempt that did not run. Longer
# than the time-out of any call between hosts, as the claim of the attempt can
# arrive after its end.
ENDED_MEMORY_S = 60.0
# Retry-After when too few replicas answered.
UNREACHABLE_RETRY_S = 1.0

UUID7_TIME_SHIFT = 80
MILLISECONDS = 1000.0


def parse_key(text, now_unix, window_s=DEFAULT_WINDOW_S):
    """Return the creation time of an idempotency key.

    Only the canonical text is valid: the replicas compare keys as text, so
    a request sent with two spellings of one key would run twice.
    """
    try:
        key = uuid.UUID(text)
    except ValueError:
        key = None
    if key is None or str(key) != text or key.version != 7:
        raise errors.RefusedError(
            verdicts.Refusal(
                verdicts.Reason.IDEMPOTENCY_KEY_INVALID,
                'Idempotency-Key must be a UUID of version 7 in canonical'
                ' lower-case form',
            )
        )
    created_unix = (key.int >> UUID7_TIME_SHIFT) / MILLISECONDS
    if created_unix > now_unix + FUTURE_LIMIT_S:
        raise errors.RefusedError(
            verdicts.Refusal(
                verdicts.Reason.IDEMPOTENCY_KEY_INVALID,
                'Idempotency-Key was created in the future',
            )
        )
    if created_unix < now_unix - window_s:
        raise errors.RefusedError(
            verdicts.Refusal(
                verdicts.Reason.IDEMPOTENCY_KEY_EXPIRED,
                f'Idempotency-Key is older than {window_s:g} s',
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        )
    return created_unix


def find_replicas(workspace, key, addresses):
    """Return the addresses of the replicas of a workspace's key."""
    ranking = hashing.rank(f'{workspace}\0{key}', addresses)
    return tuple(ranking[:REPLICA_COUNT])


class _Claim:
    __slots__ = ('attempt_id', 'digest', 'ran', 'status')

    def __init__(self, attempt_id, digest):
        self.attempt_id = attempt_id
        self.digest = digest
        self.ran = False
        self.status = None


class ClaimReplica:
    """One host's memory of claimed keys.

    A claim is granted only if the memory would certainly contain an earlier
    claim of the key that this replica granted. `fleet_version` has to differ
    after each change of the list of addresses, also after one that restores
    an earlier list: a host may have missed the lists in between.
    """

    __slots__ = (
        '_claims',
        '_ended_attempts',
        '_ended_queue',
        '_fleet_since_unix',
        '_fleet_version',
        '_evicted_until_unix',
        '_max_claims',
        '_memory_began_unix',
        '_by_creation',
        '_window_s',
    )

    def __init__(
        self,
        memory_began_unix,
        fleet_version,
        fleet_since_unix,
        window_s=DEFAULT_WINDOW_S,
        max_claims=1_000_000,
    ):
        self._memory_began_unix = memory_began_unix
        self._fleet_version = fleet_version
        self._fleet_since_unix = fleet_since_unix
        self._window_s = window_s
        self._max_claims = max_claims
        self._claims = {}
        self._by_creation = []
        self._ended_attempts = set()
        self._ended_queue = collections.deque()
        # Claims of keys created up to this time may have been evicted. It
        # never decreases, even when the clock is set back.
        self._evicted_until_unix = float('-inf')

    def __len__(self):
        return len(self._claims)

    def set_fleet(self, version, since_unix):
        """Set the version of the fleet in force and the time of its start."""
        if version == self._fleet_version:
            return
        self._fleet_version = version
        self._fleet_since_unix = since_unix

    def hold_back(self, now_unix):
        """Record that a list of addresses may have been missed in a pause.

        Keys that ran in the meantime under that list are not granted here.
        The version in the next call of `set_fleet` may be the same as before.
        """
        self._fleet_since_unix = now_unix

    def set_window(self, window_s):
        """Set the time for which keys are accepted."""
        self._window_s = window_s

    def claim(self, request, now_unix):
        """Grant or refuse a claim."""
        self.expire(now_unix)
        if request.fleet_version != self._fleet_version:
            return messages.ClaimAnswer(messages.ClaimState.WRONG_FLEET)
        claim = self._claims.get((request.workspace, request.key))
        if claim is not None:
            return self._compare(request, claim)
        attempt = (request.workspace, request.key, request.attempt_id)
        if attempt in self._ended_attempts or not self._covers(
            request, now_unix
        ):
            return messages.ClaimAnswer(messages.ClaimState.UNKNOWN)
        self._store(request)
        return messages.ClaimAnswer(messages.ClaimState.GRANTED)

    def end(self, claim_end, now_unix):
        """Record the end of an attempt; free its claim if it did not run."""
        self.expire(now_unix)
        key = (claim_end.workspace, claim_end.key)
        claim = self._claims.get(key)
        is_same_attempt = (
            claim is not None and claim.attempt_id == claim_end.attempt_id
        )
        if is_same_attempt and claim_end.ran:
            claim.ran = True
            claim.status = claim_end.status
        elif is_same_attempt and not claim.ran:
            # The entry stays, so that a key that is claimed and freed many
            # times has one entry in the heap of creation times.
            self._claims[key] = None
        if not claim_end.ran:
            self._store_end((*key, claim_end.attempt_id), now_unix)

    def expire(self, now_unix):
        """Evict claims older than the window, and ends of old attempts."""
        horizon = now_unix - self._window_s - WINDOW_MARGIN_S
        self._evicted_until_unix = max(self._evicted_until_unix, horizon)
        while (
            self._by_creation
            and self._by_creation[0][0] <= self._evicted_until_unix
        ):
            self._claims.pop(heapq.heappop(self._by_creation)[1], None)
        while self._ended_queue and self._ended_queue[0][0] <= now_unix:
            self._ended_attempts.discard(self._ended_queue.popleft()[1])

    def dump(self):
        """Return the state for the admin API; keys are left out."""
        return {
            'claims': len(self._claims),
            'ended_attempts': len(self._ended_attempts),
            'memory_began_unix': self._memory_began_unix,
            'fleet_version': self._fleet_version,
            'fleet_since_unix': self._fleet_since_unix,
        }

    def _compare(self, request, claim):
        if claim.digest != request.digest:
            return messages.ClaimAnswer(messages.ClaimState.MISMATCH)
        if claim.attempt_id == request.attempt_id and not claim.ran:
            return messages.ClaimAnswer(messages.ClaimState.GRANTED)
        return messages.ClaimAnswer(messages.ClaimState.CLAIMED, claim.status)

    def _covers(self, request, now_unix):
        created_unix = request.created_unix
        latest_unix = now_unix + FUTURE_LIMIT_S + CLOCK_SKEW_S
        return (
            created_unix > self._memory_began_unix + MEMORY_MARGIN_S
            and created_unix > self._fleet_since_unix + FLEET_MARGIN_S
            and self._evicted_until_unix < created_unix <= latest_unix
        )

    def _store(self, request):
        key = (request.workspace, request.key)
        if key not in self._claims:
            heapq.heappush(self._by_creation, (request.created_unix, key))
        self._claims[key] = _Claim(request.attempt_id, request.digest)
        while len(self._by_creation) > self._max_claims:
            created_unix, oldest = heapq.heappop(self._by_creation)
            self._claims.pop(oldest, None)
            self._evicted_until_unix = max(
                self._evicted_until_unix, created_unix
            )

    def _store_end(self, attempt, now_unix):
        # The claim may still be in flight, or be sent again.
        if attempt in self._ended_attempts:
            return
        self._ended_attempts.add(attempt)
        self._ended_queue.append((now_unix + ENDED_MEMORY_S, attempt))
        if len(self._ended_queue) > self._max_claims:
            self._ended_attempts.discard(self._ended_queue.popleft()[1])


class ClaimQuorum:
    """An attempt's claim at the replicas of its key.

    The attempt may run if a majority of the replicas grants the claim. As an
    attempt that ran before had a majority, too, the remaining replicas are
    too few for another.
    """

    __slots__ = ('_answers', '_decision', '_replicas', '_majority', '_request')

    def __init__(self, request, replicas):
        self._request = request
        self._replicas = tuple(replicas)
        self._majority = len(self._replicas) // 2 + 1
        self._answers = {}
        self._decision = None

    @property
    def request(self):
        """The claim that is sent to each replica."""
        return self._request

    @property
    def replicas(self):
        """Replicas of the key; the end of the attempt is sent to all."""
        return self._replicas

    @property
    def decision(self):
        """None while undecided, `ClaimState.GRANTED`, or a refusal."""
        return self._decision

    @property
    def granted_replicas(self):
        """Replicas that granted the claim so far."""
        return tuple(
            replica for replica in self._replicas if self._is_granted(replica)
        )

    def record(self, replica, answer):
        """Record a replica's answer; None if the replica was unreachable."""
        if (
            replica not in self._replicas
            or self._answers.get(replica) is not None
        ):
            return
        self._answers[replica] = answer
        if self._decision is None:
            self._decision = self._decide()

    def _is_granted(self, replica):
        answer = self._answers.get(replica)
        return (
            answer is not None and answer.state is messages.ClaimState.GRANTED
        )

    def _decide(self):
        grants = len(self.granted_replicas)
        if grants >= self._majority:
            return messages.ClaimState.GRANTED
        not_granted = len(self._answers) - grants
        if len(self._replicas) - not_granted >= self._majority:
            return None
        return self._refuse()

    def _refuse(self):
        by_state = {
            answer.state: answer
            for answer in self._answers.values()
            if answer is not None
        }
        if messages.ClaimState.MISMATCH in by_state:
            return verdicts.Refusal(
                verdicts.Reason.IDEMPOTENCY_KEY_REUSED,
                'the idempotency key was used for another request',
            )
        if messages.ClaimState.CLAIMED in by_state:
            return self._refuse_claimed()
        if messages.ClaimState.UNKNOWN in by_state:
            return verdicts.Refusal(
                verdicts.Reason.ALREADY_CLAIMED,
                'the idempotency key is older than the memory of its replicas',
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return verdicts.Refusal(
            verdicts.Reason.CLAIMS_UNREACHABLE,
            'too few replicas of the idempotency key answered',
            retry_after_s=UNREACHABLE_RETRY_S,
        )

    def _refuse_claimed(self):
        statuses = [
            answer.status
            for answer in self._answers.values()
            if answer is not None and answer.status is not None
        ]
        if statuses:
            return verdicts.Refusal(
                verdicts.Reason.ALREADY_CLAIMED,
                f'the request ran before with status {statuses[0]}',
                verdict=verdicts.Verdict.RAN,
            )
        return verdicts.Refusal(
            verdicts.Reason.ALREADY_CLAIMED,
            'the idempotency key is claimed by another attempt',
            verdict=verdicts.Verdict.MAY_HAVE_RUN,
        )
