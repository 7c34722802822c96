"""Tests of retry decisions and the retry budget."""

import unittest

from lavenderstile import messages
from lavenderstile import retries
from lavenderstile import verdicts

Outcome = messages.Outcome


class DecisionTest(unittest.TestCase):
    """Guards against a second run of a non-idempotent request."""

    def test_never_repeats_what_may_have_run(self):
        for outcome in Outcome:
            decision = retries.decide_retry(outcome, False, 1, 5.0)
            if outcome in (Outcome.CONNECT_FAILED, Outcome.NOT_SENT):
                self.assertIsInstance(decision, retries.Retry)
            else:
                self.assertIsInstance(decision, retries.NoRetry, outcome)

    def test_repeats_what_the_target_proved_not_to_have_run(self):
        decision = retries.decide_retry(
            Outcome.SHED, False, 1, 5.0, verdicts.Verdict.NOT_RUN
        )
        self.assertIsInstance(decision, retries.Retry)

    def test_repeats_idempotent_requests_after_a_crash(self):
        decision = retries.decide_retry(Outcome.CRASHED, True, 1, 5.0)
        self.assertIsInstance(decision, retries.Retry)

    def test_gives_up_after_two_retries(self):
        kinds = [
            type(retries.decide_retry(Outcome.TIMEOUT, True, attempt, 5.0))
            for attempt in (1, 2, 3)
        ]
        self.assertEqual(
            kinds, [retries.Retry, retries.Retry, retries.NoRetry]
        )

    def test_gives_up_without_time(self):
        decision = retries.decide_retry(Outcome.TIMEOUT, True, 1, 0.0)
        self.assertIsInstance(decision, retries.NoRetry)

    def test_never_repeats_a_started_response(self):
        decision = retries.decide_retry(
            Outcome.TRUNCATED, True, 1, 5.0, response_started=True
        )
        self.assertIsInstance(decision, retries.NoRetry)

    def test_never_repeats_an_answer_or_a_cancelled_request(self):
        for outcome in (Outcome.ANSWERED, Outcome.CANCELLED):
            decision = retries.decide_retry(outcome, True, 1, 5.0)
            self.assertIsInstance(decision, retries.NoRetry)

    def test_excludes_all_failed_targets_and_their_domains(self):
        decision = retries.decide_retry(
            Outcome.TIMEOUT,
            True,
            2,
            5.0,
            target='t2',
            domain='south',
            excluded_targets=('t1',),
            excluded_domains=('south',),
        )
        self.assertEqual(decision, retries.Retry(3, ('t1', 't2'), ('south',)))


class BudgetTest(unittest.TestCase):
    """Guards against retries that multiply the load of a failing service."""

    def test_retries_stay_under_a_tenth_of_requests(self):
        budget = retries.RetryBudget()
        taken = 0
        for _ in range(10_000):
            budget.record_request()
            taken += budget.take()
        self.assertLessEqual(taken, 1000 + retries.BUDGET_BURST)
        self.assertGreaterEqual(taken, 990)

    def test_unused_retries_are_bounded(self):
        budget = retries.RetryBudget()
        for _ in range(10_000):
            budget.record_request()
        taken = sum(budget.take() for _ in range(1000))
        self.assertEqual(taken, retries.BUDGET_BURST)
