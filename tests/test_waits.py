"""Tests of waits that end when an answer is no longer expected."""

import asyncio
import unittest

from lavenderstile import waits

# Overall limit of a test's waits; no bound on what is measured.
LIMIT_S = 20.0


class WaitTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that wait for a host that is gone."""

    async def test_the_result_is_returned(self):
        async def call():
            return 7

        self.assertEqual(await waits.wait_while(call(), lambda: True), 7)

    async def test_a_fault_of_the_call_is_raised(self):
        async def call():
            raise ValueError('no')

        with self.assertRaises(ValueError):
            await waits.wait_while(call(), lambda: True)

    async def test_a_call_that_is_not_worthwhile_is_cancelled(self):
        call = asyncio.get_running_loop().create_future()
        async with asyncio.timeout(LIMIT_S):
            result = await waits.wait_while(call, lambda: False)
        self.assertIsNone(result)
        self.assertTrue(call.cancelled())

    async def test_a_result_that_comes_with_the_cancellation(self):
        """A grant that nobody takes would keep its slot."""
        call = asyncio.get_running_loop().create_future()
        given_back = []
        wait = asyncio.create_task(
            waits.wait_while(call, lambda: True, given_back.append)
        )
        await asyncio.sleep(0)
        call.set_result('grant')
        wait.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await wait
        self.assertEqual(given_back, ['grant'])

    async def test_a_wait_that_is_cancelled_cancels_the_call(self):
        call = asyncio.get_running_loop().create_future()
        wait = asyncio.create_task(waits.wait_while(call, lambda: True))
        await asyncio.sleep(0)
        wait.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await wait
        self.assertTrue(call.cancelled())
