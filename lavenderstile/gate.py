"""First checks of a request: route, key, service and recent denials."""

import dataclasses

from . import errors
from . import keys
from . import models
from . import verdicts

AUTHORIZATION_HEADER = b'authorization'
# A denial is remembered at most this long, as rights may be returned earlier.
MAX_RATE_HINT_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """What the first checks found out about a request.

    `key_digest` and `workspace` are empty on open routes.
    """

    route: models.Route
    service: models.Service
    workspace: str
    key_digest: str
    idempotent: bool


def refuse(reason, detail, **options):
    """Raise a `RefusedError` with this reason and detail."""
    raise errors.RefusedError(verdicts.Refusal(reason, detail, **options))


class RateHints:
    """Workspaces that were denied a token recently, with the end of denial."""

    __slots__ = ('_denied_until',)

    def __init__(self):
        self._denied_until = {}

    def deny(self, workspace, retry_after_s, now):
        """Record that the owner of the workspace's rate denied a token."""
        wait_s = min(retry_after_s, MAX_RATE_HINT_S)
        self._denied_until[workspace] = now + wait_s

    def remaining_s(self, workspace, now):
        """Return the seconds until the workspace may get a token again."""
        until = self._denied_until.get(workspace)
        if until is None:
            return 0.0
        if until <= now:
            del self._denied_until[workspace]
            return 0.0
        return until - now


class Gate:
    """Checks requests against the configuration in force."""

    def __init__(self, configuration_task, hints):
        self._configuration_task = configuration_task
        self._hints = hints

    def check(self, request, now):
        """Return the `Admission` of a request, or raise `RefusedError`."""
        route = self._find_route(request)
        request.record.route = route.name
        workspace, digest = self._find_workspace(request, route)
        request.record.workspace = workspace
        service = self._find_service(route)
        request.set_deadline(service.timeout_ms)
        self._check_rate_hint(workspace, now)
        return Admission(
            route,
            service,
            workspace,
            digest,
            route.is_idempotent(request.method),
        )

    def _find_route(self, request):
        table = self._configuration_task.route_table
        route = table.match(request.method, request.path)
        if route is not None:
            return route
        allowed = table.allowed_methods(request.path)
        if allowed:
            refuse(
                verdicts.Reason.METHOD_NOT_ALLOWED,
                f'the route allows only {", ".join(allowed)}',
            )
        refuse(verdicts.Reason.ROUTE_UNKNOWN, 'no route matches the path')

    def _find_workspace(self, request, route):
        if route.open:
            return '', ''
        key = keys.extract_bearer(request.header(AUTHORIZATION_HEADER))
        if key is None:
            refuse(
                verdicts.Reason.KEY_MISSING,
                'send the key as "Authorization: Bearer <key>"',
            )
        workspace = self._configuration_task.key_ring.find(key)
        if workspace is None:
            refuse(verdicts.Reason.KEY_UNKNOWN, 'the key is not in force')
        return workspace, keys.digest_key(key)

    def _find_service(self, route):
        service = self._configuration_task.configuration.services.get(
            route.service
        )
        if service is None:
            refuse(
                verdicts.Reason.SERVICE_UNKNOWN,
                f'the route leads to service {route.service!r}, which is '
                'not configured',
            )
        return service

    def _check_rate_hint(self, workspace, now):
        wait_s = self._hints.remaining_s(workspace, now)
        if wait_s > 0:
            refuse_rate(wait_s)

    def recheck(self, admission, unit):
        """Repeat the checks on key and target just before the send.

        Raises `RefusedError` if the key was withdrawn while the request was
        queued. Returns whether the target may still get new requests.
        """
        if admission.key_digest:
            found = self._configuration_task.key_ring.find_digest(
                admission.key_digest
            )
            if found != admission.workspace:
                refuse(
                    verdicts.Reason.KEY_UNKNOWN,
                    'the key was withdrawn while the request was queued',
                )
        return self._is_in_service(unit)

    def _is_in_service(self, unit):
        configuration = self._configuration_task.configuration
        service = configuration.services.get(unit.service)
        if service is None:
            return False
        return any(
            target.address == unit.target
            and not target.leaving
            and target.domain not in configuration.domains_out
            for target in service.targets
        )


def refuse_rate(retry_after_s):
    """Raise the refusal of a request over its workspace's rate."""
    refuse(
        verdicts.Reason.RATE_EXCEEDED,
        'the workspace has used up its rate and burst',
        retry_after_s=retry_after_s,
    )
