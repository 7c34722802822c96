"""Sends requests through a stand-in fleet and prints the responses.

python -m emulator.demo
"""

import asyncio
import sys

import httpx
import uuid6

from . import fleet as fleet_module
from . import tickets

START_LIMIT_S = 20.0
# A replica grants only claims of idempotency keys created at least 10 s after
# its memory began and 15 s after its address list changed, so a new fleet has
# to wait first.
CLAIM_READY_S = 15.5


def print_step(title, text=''):
    """Print one step of the demonstration."""
    print(f'== {title}', flush=True)
    if text:
        print(text.rstrip(), flush=True)


def format_response(response):
    """Return the method, path, status and verdict of a response."""
    verdict = response.headers.get('lavenderstile-verdict')
    line = f'{response.request.method} {response.request.url.path}: '
    line += f'{response.status_code}'
    if verdict:
        line += f', verdict {verdict}, {response.json()["detail"]}'
    return line


async def run_cli(*arguments):
    """Run the command-line tool; return (exit status, output)."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        '-m',
        'lavenderstile.cli',
        *arguments,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


class Demonstration:
    """Sends a few requests through a running fleet."""

    def __init__(self, fleet, client):
        self._fleet = fleet
        self._client = client
        self._key = tickets.DEMO_KEYS['club-a']

    async def call(self, number, method, path, **options):
        """Send a request to one host with the workspace's key."""
        url = self._fleet.hosts[number].caller_url + path
        headers = {'Authorization': f'Bearer {self._key}'}
        headers |= options.pop('headers', {})
        return await self._client.request(
            method, url, headers=headers, **options
        )

    async def wait_for_service(self):
        """Wait until each host serves requests."""
        async with asyncio.timeout(START_LIMIT_S):
            for number in range(len(self._fleet.hosts)):
                while True:
                    response = await self.call(number, 'GET', '/heats/1')
                    if response.status_code == 200:
                        break
                    await asyncio.sleep(0.2)

    async def show_requests(self):
        """Show answered requests, a repeated one and a refusal."""
        print_step('a request of a workspace through each host')
        for number in range(len(self._fleet.hosts)):
            print(format_response(await self.call(number, 'GET', '/heats/1')))
        print_step(
            'an upload of 1 MB, answered with the digest of what arrived'
        )
        upload = await self.call(0, 'PUT', '/heats/1', content=b'x' * 2**20)
        print(format_response(upload), upload.json().get('size'))
        print_step(
            'a fee with an Idempotency-Key, sent again through another host'
        )
        await asyncio.sleep(CLAIM_READY_S)
        headers = {'Idempotency-Key': str(uuid6.uuid7())}
        for number in (0, 1):
            response = await self.call(
                number, 'POST', '/fees/7', headers=headers, content=b'12 EUR'
            )
            print(format_response(response))
        print_step('a refusal: a key that is not in force')
        wrong = {'Authorization': 'Bearer no-such-key'}
        refused = await self.call(0, 'GET', '/heats/1', headers=wrong)
        print(format_response(refused))
        return refused.headers['x-request-id']

    async def show_tool(self, request_id):
        """Show the output of the command-line tool."""
        admin = [
            host.admin_url.removeprefix('http://')
            for host in self._fleet.hosts
        ]
        commands = (
            ('explain', 'request', request_id, '--host', admin[0]),
            ('show', *admin),
        )
        for command in commands:
            status, output = await run_cli(*command)
            print_step(f'lavenderstile {" ".join(command)}', output)
            if status:
                raise SystemExit(f'exit status {status}')

    async def show_stop(self):
        """Stop one host gracefully and kill another."""
        print_step('graceful shutdown of the first host (SIGTERM)')
        status = await self._fleet.hosts[0].process.stop()
        print(f'exit status {status}')
        if status:
            raise SystemExit('the graceful shutdown failed')
        print_step('SIGKILL of the second host; the third one still answers')
        await self._fleet.hosts[1].process.kill()
        response = await self.call(2, 'GET', '/heats/1')
        print(format_response(response))
        if response.status_code != 200:
            raise SystemExit('the last host does not answer')


async def main():
    """Run the demonstration."""
    async with (
        fleet_module.run_fleet(hosts=3, targets=6) as fleet,
        httpx.AsyncClient(trust_env=False, timeout=15) as client,
    ):
        await fleet.publish('tickets/1', tickets.format_demo_ticket(fleet))
        await fleet.start_hosts()
        await fleet.wait_for_hosts()
        demonstration = Demonstration(fleet, client)
        await demonstration.wait_for_service()
        print_step('three hosts are ready, in three failure domains')
        request_id = await demonstration.show_requests()
        await demonstration.show_tool(request_id)
        await demonstration.show_stop()
        print_step('done')


if __name__ == '__main__':
    asyncio.run(main())
