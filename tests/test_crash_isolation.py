"""Tests that crashing requests are blocked and other requests are not."""

import random
import unittest
from unittest import mock

from lavenderstile import crashes
from lavenderstile import messages
from lavenderstile import verdicts

from . import fleets

Outcome = messages.Outcome
POISON = 'poison'
TICK_S = 0.01


class CountingRegister(crashes.CrashRegister):
    """Weakened variant: counts the targets of all crashes of a digest."""

    def record(self, digest, target, now, as_suspect=True):
        """Count a crash, also of runs from before the suspicion."""
        return super().record(digest, target, now)

    def clear(self, digest):
        """Keep the records of requests that get a response later."""

    def is_suspect(self, digest, now):
        """Let suspects run like other requests."""
        return False


class CrashRun:
    """Simulates popular requests, and a poisonous one that is sent again.

    A crash of a target fails every request that runs there.
    """

    def __init__(self, seed, copies, register=crashes.CrashRegister):
        self.rng = random.Random(seed)
        with mock.patch.object(crashes, 'CrashRegister', register):
            self.owner = fleets.Owner(fleets.make_service(12, 3))
        self.copies = copies
        self.running = []
        self.waiting = {}
        self.reached = []
        self.refused_innocent = set()
        self.refused_poison = 0

    def run(self, ticks, kills=()):
        """Run; at the ticks of `kills`, two targets in use are killed."""
        for tick in range(ticks):
            self.owner.now += TICK_S
            for _ in range(8):
                self._send(f'page{int(self.rng.paretovariate(1)) % 30}')
            while self._count_poison() < self.copies and tick > 5:
                if not self._send(POISON):
                    break
            for request_id, outcome in self.owner.poll().items():
                self._handle(self.waiting.pop(request_id), outcome)
            self._crash(
                {
                    grant.unit.target
                    for grant, digest, _ in self.running
                    if digest == POISON
                }
            )
            if tick in kills:
                used = sorted({g.unit.target for g, _, _ in self.running})
                self._crash(set(self.rng.sample(used, min(2, len(used)))))
            self._finish()

    def _count_poison(self):
        running = sum(digest == POISON for _, digest, _ in self.running)
        waiting = sum(digest == POISON for digest in self.waiting.values())
        return running + waiting

    def _send(self, digest):
        answer = self.owner.ask(digest=digest, wait_s=10 * TICK_S)
        return self._handle(digest, answer)

    def _handle(self, digest, answer):
        match answer:
            case messages.Queued(request_id):
                self.waiting[request_id] = digest
            case messages.Grant():
                ticks = self.rng.randint(1, 4)
                self.running.append((answer, digest, ticks))
                if digest == POISON:
                    self.reached.append(answer.unit.target)
                return True
            case verdicts.Refusal(reason=verdicts.Reason.CRASHES_TARGETS):
                if digest == POISON:
                    self.refused_poison += 1
                else:
                    self.refused_innocent.add(digest)
        return False

    def _crash(self, crashed_targets):
        for grant, digest, _ in self.running:
            if grant.unit.target in crashed_targets:
                self.owner.release(grant, Outcome.CRASHED, digest=digest)
        self.running = [
            item
            for item in self.running
            if item[0].unit.target not in crashed_targets
        ]

    def _finish(self):
        unfinished = []
        for grant, digest, ticks in self.running:
            if ticks <= 1:
                self.owner.release(grant, digest=digest)
            else:
                unfinished.append((grant, digest, ticks - 1))
        self.running = unfinished


class PoisonTest(unittest.TestCase):
    """Guards against poisonous requests that crash target after target.

    Innocent requests that ran on a crashed target must not be refused.
    """

    def _run_seeds(self, copies, register=crashes.CrashRegister, kills=()):
        """Return targets reached and innocent digests refused, per run."""
        reached, innocent = [], []
        for seed in range(6):
            run = CrashRun(seed, copies, register)
            run.run(200, kills)
            reached.append(len(set(run.reached)))
            innocent.append(len(run.refused_innocent))
        return reached, innocent

    def test_a_poisonous_request_reaches_two_targets(self):
        reached, innocent = self._run_seeds(1)
        self.assertEqual(set(reached), {2})
        self.assertEqual(sum(innocent), 0)

    def test_copies_sent_at_once_reach_one_more_each(self):
        reached, innocent = self._run_seeds(3)
        self.assertLessEqual(max(reached), 4)
        self.assertEqual(sum(innocent), 0)

    def test_killed_targets_block_no_request(self):
        kills = range(20, 200, 20)
        _, innocent = self._run_seeds(0, kills=kills)
        self.assertEqual(sum(innocent), 0)

    def test_poison_and_killed_targets_together(self):
        reached, innocent = self._run_seeds(1, kills=range(20, 200, 20))
        self.assertLessEqual(max(reached), 2)
        self.assertEqual(sum(innocent), 0)

    def test_counting_every_crash_refuses_innocent_requests(self):
        _, innocent = self._run_seeds(0, CountingRegister, range(20, 200, 20))
        self.assertGreater(sum(innocent), 20)
