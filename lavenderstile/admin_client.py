"""HTTP client for the admin interface of daemons."""

import asyncio
import dataclasses
import typing
import urllib.parse

import httpx
import msgspec

from . import errors

# A host that does not respond within this time counts as unreachable.
REQUEST_TIMEOUT_S = 5.0

# Limit of requests in flight at the same time.
MAX_CONCURRENT_REQUESTS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class HostResult:
    """Result of a request to one host: the decoded value or an error.

    Both are None if the host responded with status 404.
    """

    address: str
    value: typing.Any = None
    error: str | None = None


class AdminClient:
    """Sends requests to hosts, each given by its admin `ip:port`."""

    __slots__ = ('_transport',)

    def __init__(self, transport=None):
        """Create a client; `transport` replaces the network in tests."""
        self._transport = transport

    def request(self, addresses, path, response_type, method='GET'):
        """Return a HostResult for each host, in the order of `addresses`."""
        return asyncio.run(
            self._request_all(addresses, path, response_type, method)
        )

    def request_one(self, address, path, response_type, method='GET'):
        """Return the value from one host; raise PeerError if there is none."""
        (result,) = self.request([address], path, response_type, method)
        error = result.error
        if result.value is None and error is None:
            error = f'no such resource: {path}'
        if error is not None:
            raise errors.PeerError(f'{address}: {error}')
        return result.value

    async def _request_all(self, addresses, path, response_type, method):
        # Hosts are contacted directly: HTTP proxies set in the environment
        # are meant for other networks.
        async with httpx.AsyncClient(
            transport=self._transport,
            timeout=REQUEST_TIMEOUT_S,
            trust_env=False,
            limits=httpx.Limits(max_connections=None),
        ) as client:
            semaphore = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

            async def request_host(address):
                async with semaphore:
                    return await _request(client, method, address, path)

            results = await asyncio.gather(*map(request_host, addresses))
        return [
            _decode(address, response_type, *result)
            for address, result in zip(addresses, results, strict=True)
        ]


async def _request(client, method, address, path):
    try:
        return await client.request(method, f'http://{address}{path}'), None
    except httpx.HTTPError as error:
        return None, f'unreachable: {str(error) or type(error).__name__}'


def _decode(address, response_type, response, error):
    if error is not None:
        return HostResult(address, error=error)
    if response.status_code == httpx.codes.NOT_FOUND:
        return HostResult(address)
    if not response.is_success:
        detail = f'unexpected status {response.status_code}'
        return HostResult(address, error=detail)
    try:
        value = msgspec.json.decode(response.content, type=response_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        detail = f'invalid response: {problem}'
        return HostResult(address, error=detail)
    return HostResult(address, value)


def build_path(*segments):
    """Return the path of an admin resource with percent-encoded segments."""
    quoted = [urllib.parse.quote(segment, safe=':') for segment in segments]
    return '/-/' + '/'.join(quoted)
