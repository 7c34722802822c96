"""Claims of idempotency keys: a request with a key runs at most once."""

import collections
import heapq
import uuid

from . import errors
from . import hashing
from . import messages
from . import verdicts

REPLICA_COUNT = 3
# Keys with a creation time further ahead of the clock are refused.
FUTURE_LIMIT_S = 5.0
# Largest difference between the wall clocks of two hosts.
CLOCK_SKEW_S = 5.0
# Stated limit for a configuration change to be in force on every host.
SPREAD_LIMIT_S = 5.0
# A home grants only keys created this long after its memory began. A key
# that ran just before can be from the future, and the entry host's clock,
# which let it pass, can be ahead of the home's.
MEMORY_MARGIN_S = FUTURE_LIMIT_S + CLOCK_SKEW_S
# The same after a change of the fleet: until the change has spread, entry
# hosts and homes that do not know of it still run such keys.
FLEET_MARGIN_S = SPREAD_LIMIT_S + MEMORY_MARGIN_S
DEFAULT_WINDOW_S = 900.0
# Homes remember claims for longer than entry hosts accept keys, so that a
# difference between their clocks does not turn valid keys away.
WINDOW_MARGIN_S = 2 * CLOCK_SKEW_S
# How long the end of an attempt is remembered that came before its claim;
# longer than any call between hosts may take.
ENDED_MEMORY_S = 60.0
# Retry-After when too few homes could answer.
UNREACHABLE_RETRY_S = 1.0

UUID7_TIME_SHIFT = 80
MILLISECONDS = 1000.0


def parse_key(text, now_unix, window_s=DEFAULT_WINDOW_S):
    """Return the creation time of an idempotency key.

    Only the canonical text is valid: the homes compare keys as text, and
    two spellings of one key would run twice.
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
    """Return the addresses that decide about a workspace's key."""
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

    A key is granted only when the memory would surely contain it if this
    home had granted it before. `fleet_version` has to differ for each change
    of the list of addresses, also for one that restores an earlier list: a
    host may have missed what was between them.
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
        # Claims of keys created up to this time may have been forgotten.
        # It never moves back, even when the clock is set back.
        self._evicted_until_unix = float('-inf')

    def __len__(self):
        return len(self._claims)

    def set_fleet(self, version, since_unix):
        """Note the published fleet in force and when it came into force."""
        if version == self._fleet_version:
            return
        self._fleet_version = version
        self._fleet_since_unix = since_unix

    def hold_back(self, now_unix):
        """Note that a list of addresses may have been missed in a pause.

        Keys that ran meanwhile under that list are not granted here. The
        next call of `set_fleet` need not name another version.
        """
        self._fleet_since_unix = now_unix

    def set_window(self, window_s):
        """Note the window in force."""
        self._window_s = window_s

    def claim(self, request, now_unix):
        """Decide a claim."""
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
        """Note the end of an attempt; a claim that did not run is freed."""
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
            # times is listed once in the order of creation.
            self._claims[key] = None
        if not claim_end.ran:
            self._store_end((*key, claim_end.attempt_id), now_unix)

    def expire(self, now_unix):
        """Forget claims older than the window, and old ends."""
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
        # The claim may still be on its way, or be sent again.
        if attempt in self._ended_attempts:
            return
        self._ended_attempts.add(attempt)
        self._ended_queue.append((now_unix + ENDED_MEMORY_S, attempt))
        if len(self._ended_queue) > self._max_claims:
            self._ended_attempts.discard(self._ended_queue.popleft()[1])


class ClaimQuorum:
    """An attempt's claim at the homes of its key.

    A majority of grants decides for the attempt. An earlier run had such a
    majority too, so it leaves too few homes for another.
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
        """The claim that is sent to each home."""
        return self._request

    @property
    def replicas(self):
        """Homes of the key; an attempt that did not run tells them all."""
        return self._replicas

    @property
    def decision(self):
        """None while open, `ClaimState.GRANTED`, or a refusal."""
        return self._decision

    @property
    def granted_replicas(self):
        """Homes that granted the claim so far."""
        return tuple(
            replica for replica in self._replicas if self._is_granted(replica)
        )

    def record(self, replica, answer):
        """Note a home's answer; None when the home was unreachable."""
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
                'the idempotency key is older than the memory of its homes',
                verdict=verdicts.Verdict.MAY_HAVE_RUN,
            )
        return verdicts.Refusal(
            verdicts.Reason.CLAIMS_UNREACHABLE,
            'too few homes of the idempotency key could answer',
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
