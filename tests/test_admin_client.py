"""Tests of the HTTP client for the admin interface."""

import asyncio
import contextlib
import os
import socket
import threading
import time
import unittest
from unittest import mock

import httpx
import uvicorn

from lavenderstile import admin_client
from lavenderstile import admin_responses
from lavenderstile import errors
from tests.standins import admin_host

EXPLAIN = ('GET', '/-/explain/request/r-1')


@contextlib.contextmanager
def serve(application):
    """Serve an application on a loopback port; yield its address."""
    with socket.create_server(('127.0.0.1', 0)) as listener:
        server = uvicorn.Server(
            uvicorn.Config(application, lifespan='off', log_config=None)
        )
        thread = threading.Thread(target=server.run, args=([listener],))
        thread.start()
        try:
            while not server.started and thread.is_alive():
                time.sleep(0.01)
            yield f'127.0.0.1:{listener.getsockname()[1]}'
        finally:
            server.should_exit = True
            thread.join()


class RequestTest(unittest.TestCase):
    """Guards against responses that are lost or given to another host."""

    def setUp(self):
        super().setUp()
        self.addresses = [f'127.0.0.{n}:8082' for n in range(1, 121)]

    def test_results_keep_the_order_of_addresses(self):
        hosts = {
            address: admin_host.AdminHost({EXPLAIN: {'sentences': [address]}})
            for address in self.addresses
        }
        client = admin_client.AdminClient(admin_host.FleetTransport(hosts))
        results = client.request(
            self.addresses, EXPLAIN[1], admin_responses.ExplainResponse
        )
        self.assertEqual(
            [result.value.sentences for result in results],
            [[address] for address in self.addresses],
        )

    def test_limits_concurrent_requests(self):
        running = 0
        peak = 0

        async def count(request):
            nonlocal running, peak
            running += 1
            peak = max(peak, running)
            await asyncio.sleep(0)
            running -= 1
            return httpx.Response(200, json={'sentences': []})

        client = admin_client.AdminClient(httpx.MockTransport(count))
        client.request(
            self.addresses, EXPLAIN[1], admin_responses.ExplainResponse
        )
        self.assertEqual(peak, admin_client.MAX_CONCURRENT_REQUESTS)

    def test_timeout_is_an_error_of_that_host_only(self):
        def respond(request):
            if request.url.host == '127.0.0.2':
                raise httpx.ReadTimeout('', request=request)
            return httpx.Response(200, json={'sentences': []})

        client = admin_client.AdminClient(httpx.MockTransport(respond))
        results = client.request(
            self.addresses[:3], EXPLAIN[1], admin_responses.ExplainResponse
        )
        self.assertEqual(
            [result.error for result in results],
            [None, 'unreachable: ReadTimeout', None],
        )


class NetworkTest(unittest.TestCase):
    """Guards against a client that works only with stand-in transports."""

    def test_sends_http_and_ignores_proxies_of_the_environment(self):
        host = admin_host.AdminHost({EXPLAIN: {'sentences': ['It ran.']}})
        proxies = dict.fromkeys(
            ('HTTP_PROXY', 'http_proxy', 'ALL_PROXY'), 'http://127.0.0.77:1'
        )
        with serve(host) as address, mock.patch.dict(os.environ, proxies):
            value = admin_client.AdminClient().request_one(
                address, EXPLAIN[1], admin_responses.ExplainResponse
            )
        self.assertEqual(value.sentences, ['It ran.'])
        self.assertEqual(host.requests, [EXPLAIN])

    def test_refused_connection_is_a_peer_error(self):
        with socket.create_server(('127.0.0.1', 0)) as listener:
            port = listener.getsockname()[1]
        with self.assertRaises(errors.PeerError) as caught:
            admin_client.AdminClient().request_one(
                f'127.0.0.1:{port}', EXPLAIN[1], dict
            )
        self.assertIn(f'127.0.0.1:{port}: unreachable', str(caught.exception))


class BuildPathTest(unittest.TestCase):
    """Guards against an ID that changes the requested path."""

    def test_segments_are_encoded(self):
        self.assertEqual(
            admin_client.build_path('explain', 'a/../b?c#d', '[::1]:80'),
            '/-/explain/a%2F..%2Fb%3Fc%23d/%5B::1%5D:80',
        )
