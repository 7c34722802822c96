"""Admin HTTP interface: health, readiness, metrics, inspection, drain."""

import platform as platform_module

import litestar
from litestar import response
from litestar import status_codes

from . import __version__
from . import admin_responses


def create_admin_application(daemon):
    """Return the ASGI application of the admin listener."""

    @litestar.get('/-/healthy')
    async def healthy() -> dict:
        return {'healthy': True}

    @litestar.get('/-/ready')
    async def ready() -> response.Response:
        reasons = daemon.readiness.reasons()
        status = (
            status_codes.HTTP_503_SERVICE_UNAVAILABLE
            if reasons
            else status_codes.HTTP_200_OK
        )
        return response.Response(
            {'ready': not reasons, 'reasons': reasons}, status_code=status
        )

    @litestar.get('/-/state')
    async def state() -> dict:
        return daemon.dump()

    @litestar.get('/-/configuration')
    async def configuration() -> admin_responses.ConfigurationResponse:
        return daemon.describe_configuration()

    @litestar.get('/-/explain/request/{request_id:str}')
    async def explain_request(request_id: str) -> response.Response:
        record = daemon.journal.find(request_id)
        if record is None:
            return _not_found('not found among the most recent requests')
        return response.Response(record.dump())

    @litestar.get('/-/explain/target/{service:str}/{target:str}')
    async def explain_target(service: str, target: str) -> response.Response:
        sentences = daemon.explain_target(service, target)
        if sentences is None:
            return _not_found('this host does not own the service')
        return response.Response(
            {'service': service, 'target': target, 'sentences': sentences}
        )

    @litestar.post('/-/drain', status_code=status_codes.HTTP_202_ACCEPTED)
    async def drain() -> dict:
        daemon.request_stop()
        return {'draining': True}

    @litestar.get('/-/version')
    async def version() -> admin_responses.VersionResponse:
        return admin_responses.VersionResponse(
            'lavenderstile',
            __version__,
            platform_module.python_version(),
            daemon.membership.incarnation,
            daemon.membership.address,
        )

    @litestar.get('/metrics')
    async def metrics() -> response.Response:
        body, headers = daemon.metrics.render()
        return response.Response(
            body, headers=headers, media_type=headers['Content-Type']
        )

    return litestar.Litestar(
        route_handlers=[
            healthy,
            ready,
            state,
            configuration,
            explain_request,
            explain_target,
            drain,
            version,
            metrics,
        ],
        openapi_config=None,
        logging_config=None,
    )


def _not_found(detail):
    return response.Response(
        {'detail': detail}, status_code=status_codes.HTTP_404_NOT_FOUND
    )
