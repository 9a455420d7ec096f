"""Who calls: every request is identified before anything else is spent on it.

Keys are looked at for each request by the configuration in force, also on connections that were
opened under an earlier one.
"""

from cloverwalk.core.error_response import Reason
from cloverwalk.gateway.configuration import ConfigurationHolder, Route, RouteKind
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.gateway.messages import ClientRequest

ANONYMOUS = ""
"""The tenant's name of a caller that needs no key."""


def identify(request: ClientRequest, configurations: ConfigurationHolder, is_job_call: bool) -> str:
    """Return the name of the tenant that sends a request; raise GatewayError (no key).

    A configuration without tenants knows anonymous callers only. A caller of a public route needs
    no key; one with a known key is still its tenant. A request without a route needs none either,
    since it goes nowhere. ``is_job_call`` tells that the request is a call on a job, which has the
    host of its route and a path of its own.
    """
    configuration = configurations.current
    if configuration is None or configuration.tenants is None:
        return ANONYMOUS
    digest = request.fields.key_digest
    tenant = None if digest is None else configurations.tenants.by_digest.get(digest)
    if tenant is not None:
        return tenant.name
    if is_job_call:
        needs_key = not any(
            _accepts_anonymous_jobs(candidate, request.host) for candidate in configuration.routes
        )
    else:
        route = configuration.find_route(request.host, request.path)
        needs_key = route is not None and not route.is_public
    if not needs_key:
        return ANONYMOUS
    if digest is None:
        raise GatewayError(Reason.NO_KEY, "key_missing", "a key is needed")
    raise GatewayError(Reason.NO_KEY, "key_unknown", "this key is not known")


def _accepts_anonymous_jobs(route: Route, host: str) -> bool:
    is_same_host = route.host == host.rsplit(":", 1)[0].lower()
    return is_same_host and route.is_public and route.kind is RouteKind.BATCH
