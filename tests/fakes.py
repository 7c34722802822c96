"""Fakes for the components on the path of a request."""

import contextlib
import types

from lavenderstile import clocks
from lavenderstile import errors
from lavenderstile import explain
from lavenderstile import gate
from lavenderstile import inbound
from lavenderstile import messages
from lavenderstile import metrics
from lavenderstile import models

ADDRESS = '127.0.0.1'


class FakeHost:
    """Fake of `host.Host` with a virtual clock."""

    def __init__(self):
        self.address = ADDRESS
        self.clock = clocks.VirtualClock()
        self.metrics = metrics.Metrics()
        self.settings = types.SimpleNamespace(
            limits=types.SimpleNamespace(max_requests=100, max_body_bytes=None)
        )


class FakeSlots:
    """Fake slot client that grants slots of the listed targets in order."""

    def __init__(self, *results):
        self.results = list(results)
        self.requests = []
        self.reports = []
        self.waiting = set()

    async def acquire(self, request):
        """Return or raise the next result."""
        self.requests.append(request)
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        unit = messages.SlotUnit(request.service, result, 0)
        return messages.Grant('g', request.request_id, unit, f'd-{result}')

    def note_sent(self, grant):
        """Record that the whole request is being sent."""
        self.waiting.add(grant.unit.target)

    def note_response(self, grant):
        """Record that the response has begun."""
        self.waiting.discard(grant.unit.target)

    def release(self, grant, digest, outcome, **measured):
        """Record the target and outcome of the report."""
        self.reports.append((grant.unit.target, outcome))


class FakeTokens:
    """Fake token client; returns the listed results, then tokens."""

    def __init__(self, *results):
        self.results = list(results)
        self.taken = 0

    async def take(self, workspace):
        """Return the next result."""
        if self.results:
            return self.results.pop(0)
        self.taken += 1
        return messages.Taken()


class FakeClaims:
    """Fake claim client without replicas that records the claims."""

    def __init__(self):
        self.held = []

    @contextlib.asynccontextmanager
    async def hold(self, request, admission, digest):
        """Yield a new claim and record it."""
        held = types.SimpleNamespace(may_have_run=False, status=None)
        self.held.append(held)
        yield held


class FakeResponse:
    """Fake of a target's response; fails with `error` after the chunks."""

    def __init__(self, status=200, chunks=(b'done',), error=None):
        self.status = status
        self.headers = [(b'content-length', b'4')]
        self.latency_s = 0.01
        self.cold = False
        self.instance = ''
        self.outcome = None
        self._chunks = chunks
        self._error = error

    async def __aiter__(self):
        """Yield the body."""
        for chunk in self._chunks:
            yield chunk
        if self._error is not None:
            raise self._error
        self.outcome = messages.Outcome.ANSWERED


class FakeForwarder:
    """Fake forwarder; reads the body and returns the listed results."""

    def __init__(self, *results):
        self.results = list(results)
        self.sends = []
        self.on_send = None

    @contextlib.asynccontextmanager
    async def open(
        self, address, method, path, headers, body, *, request_id, deadline
    ):
        """Return or raise the next result."""
        received = b''
        if body is not None:
            received = b''.join([chunk async for chunk in body])
        self.sends.append(
            types.SimpleNamespace(
                address=address,
                method=method,
                path=path,
                headers=dict(headers),
                body=received,
                request_id=request_id,
                deadline=deadline,
            )
        )
        if self.on_send is not None:
            self.on_send()
        result = self.results.pop(0)
        if isinstance(result, Exception):
            raise result
        yield result


class Caller:
    """Fake caller: the server's side of one ASGI connection."""

    def __init__(self, *messages_in):
        self.incoming = list(messages_in)
        self.sent = []

    async def receive(self):
        """Return the next part of the request."""
        return self.incoming.pop(0)

    async def send(self, message):
        """Record a part of the response."""
        self.sent.append(message)

    @property
    def status(self):
        """Status of the response, or None."""
        return self.sent[0]['status'] if self.sent else None

    @property
    def headers(self):
        """Headers of the response."""
        return dict(self.sent[0]['headers'])

    @property
    def body(self):
        """Body of the response so far."""
        return b''.join(part.get('body', b'') for part in self.sent[1:])

    @property
    def complete(self):
        """Whether the response is complete."""
        return bool(self.sent) and not self.sent[-1].get('more_body', True)


def make_body(*chunks):
    """Return the ASGI messages of a request body."""
    chunks = chunks or (b'',)
    last = len(chunks) - 1
    return [
        {'type': 'http.request', 'body': chunk, 'more_body': number < last}
        for number, chunk in enumerate(chunks)
    ]


def make_scope(method='GET', path='/heats/1', headers=()):
    """Return the ASGI scope of a request."""
    return {
        'type': 'http',
        'method': method,
        'path': path,
        'raw_path': path.encode(),
        'query_string': b'',
        'headers': list(headers),
    }


def make_request(caller, method='GET', headers=(), now=1000.0):
    """Return an inbound request with ten seconds to its deadline."""
    request = inbound.InboundRequest(
        make_scope(method, headers=headers),
        caller.receive,
        now,
        explain.RequestJournal(),
    )
    request.deadline = now + 10.0
    return request


def make_admission(idempotent=True, workspace='club'):
    """Return an `Admission`, as the gate does."""
    return gate.Admission(
        route=models.Route('heats', '/heats', 'ledger'),
        service=models.Service('ledger', ()),
        workspace=workspace,
        key_digest='d' * 64,
        idempotent=idempotent,
    )


def make_target_error(outcome, verdict):
    """Return the error of a failed attempt."""
    return errors.TargetError(outcome, verdict, 'simulated failure')
