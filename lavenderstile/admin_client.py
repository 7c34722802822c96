"""Client of the admin interface of daemons."""

import asyncio
import dataclasses
import typing
import urllib.parse

import httpx
import msgspec

from . import errors

# A host that answers later counts as unreachable.
TIMEOUT_S = 5.0

# Hosts that are asked at the same time.
MAX_CONCURRENT_REQUESTS = 50


@dataclasses.dataclass(frozen=True, slots=True)
class HostResult:
    """A host's answer: the decoded value, or the error instead of it.

    Both are None when the host does not know what was asked for.
    """

    address: str
    value: typing.Any = None
    error: str | None = None


class AdminClient:
    """Asks one or more hosts, each named by its admin `ip:port`."""

    __slots__ = ('_transport',)

    def __init__(self, transport=None):
        """Use the network, or `transport` instead of it."""
        self._transport = transport

    def request(self, addresses, path, answer_type, method='GET'):
        """Return the hosts' answers in the order of `addresses`."""
        return asyncio.run(
            self._request_all(addresses, path, answer_type, method)
        )

    def request_one(self, address, path, answer_type, method='GET'):
        """Return one host's value; raise PeerError without one."""
        (answer,) = self.request([address], path, answer_type, method)
        error = answer.error
        if answer.value is None and error is None:
            error = f'does not know {path}'
        if error is not None:
            raise errors.PeerError(f'{address}: {error}')
        return answer.value

    async def _request_all(self, addresses, path, answer_type, method):
        # Proxies named by the environment are for other networks.
        async with httpx.AsyncClient(
            transport=self._transport,
            timeout=TIMEOUT_S,
            trust_env=False,
            limits=httpx.Limits(max_connections=None),
        ) as client:
            limit = asyncio.Semaphore(MAX_CONCURRENT_REQUESTS)

            async def request_host(address):
                async with limit:
                    return await _request(client, method, address, path)

            pairs = await asyncio.gather(*map(request_host, addresses))
        return [
            _decode(address, answer_type, *pair)
            for address, pair in zip(addresses, pairs, strict=True)
        ]


async def _request(client, method, address, path):
    try:
        return await client.request(method, f'http://{address}{path}'), None
    except httpx.HTTPError as error:
        return None, f'unreachable: {str(error) or type(error).__name__}'


def _decode(address, answer_type, response, error):
    if error is not None:
        return HostResult(address, error=error)
    if response.status_code == httpx.codes.NOT_FOUND:
        return HostResult(address)
    if not response.is_success:
        detail = f'answered with status {response.status_code}'
        return HostResult(address, error=detail)
    try:
        value = msgspec.json.decode(response.content, type=answer_type)
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        detail = f'gave an answer of another form: {problem}'
        return HostResult(address, error=detail)
    return HostResult(address, value)


def build_path(*segments):
    """Return the path of an admin resource, with segments encoded."""
    quoted = [urllib.parse.quote(segment, safe=':') for segment in segments]
    return '/-/' + '/'.join(quoted)
