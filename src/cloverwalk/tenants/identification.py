"""Identifies the tenant of a request, before any other work is done for it.

The key of each request is checked against the configuration in force, also on connections that
were opened under an earlier configuration.
"""

from cloverwalk.core.error_response import Reason
from cloverwalk.gateway.configuration import ConfigurationHolder
from cloverwalk.gateway.errors import GatewayError
from cloverwalk.gateway.messages import ClientRequest

ANONYMOUS = ""
"""The tenant name of callers without a tenant."""


def identify(request: ClientRequest, configurations: ConfigurationHolder, is_job_call: bool) -> str:
    """Return the name of the tenant that sent a request; raise GatewayError without a valid key.

    Without tenants in the configuration all callers are anonymous. Public routes need no key, but
    a caller with a valid key is still identified. A request without a route needs no key, since it
    is rejected anyway. ``is_job_call`` marks a call on a job: it has the host of the job's route,
    but not its path.
    """
    configuration = configurations.current
    if configuration is None or configuration.tenants is None:
        return ANONYMOUS
    digest = request.fields.key_digest
    tenant = None if digest is None else configurations.tenants.by_digest.get(digest)
    if tenant is not None:
        return tenant.name
    if is_job_call:
        needs_key = not configuration.index.has_public_jobs(request.host)
    else:
        route = configuration.find_route(request.host, request.path)
        needs_key = route is not None and not route.is_public
    if not needs_key:
        return ANONYMOUS
    if digest is None:
        raise GatewayError(Reason.NO_KEY, "key_missing", "the request has no API key")
    raise GatewayError(Reason.NO_KEY, "key_unknown", "the API key is not valid")
