"""Tests of the limits that targets state for all hosts together."""

from emulator import registered_target as standin
from tests.edge import edge_case


async def _reject_with_limit(target, request, writer):
    headers = ['x-lavenderstile-not-executed: 1', 'server-limit: 0.5']
    writer.write(standin.render(request.request_id, 503, b'', headers))


async def _answer_with_limit(target, request, writer):
    headers = ['server-limit: 2']
    writer.write(standin.render(request.request_id, headers=headers))


async def _answer_with_garbled_limit(target, request, writer):
    headers = ['server-limit: many']
    writer.write(standin.render(request.request_id, headers=headers))


class StatementTest(edge_case.EdgeCase):
    """Guards against limits that a host does not notice, or keeps too long."""

    async def get_rate_after(self, *behaviours):
        """Return the known limit of a target after a request for each."""
        target = await self.add_target(*behaviours)
        for _ in behaviours:
            await self.request('/read/1')
        return self.parts.target_limits.get_rate(target.instance)

    async def test_a_response_states_a_limit(self):
        self.assertEqual(await self.get_rate_after(_answer_with_limit), 2.0)

    async def test_a_rejection_states_a_limit(self):
        self.assertEqual(await self.get_rate_after(_reject_with_limit), 0.5)

    async def test_a_response_without_a_limit_lifts_it(self):
        rate = await self.get_rate_after(_answer_with_limit, standin.answer)
        self.assertIsNone(rate)

    async def test_an_unreadable_limit_changes_nothing(self):
        rate = await self.get_rate_after(
            _answer_with_limit, _answer_with_garbled_limit
        )
        self.assertEqual(rate, 2.0)
