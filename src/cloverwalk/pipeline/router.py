"""Which handler serves which method and path."""

from collections.abc import Callable
from typing import NamedTuple

from cloverwalk.core.events import HttpRequest
from cloverwalk.core.types import Outcome
from cloverwalk.pipeline.problem import PipelineError

Handler = Callable[[HttpRequest, str], None]


class Route(NamedTuple):
    """A path with at most one ``{id}``."""

    method: str
    pattern: str
    handler: Handler


class Router:
    """Finds handlers; faults name the path or the method."""

    def __init__(self, routes: list[Route]) -> None:
        self._routes = [(route, route.pattern.split("/")) for route in routes]

    def find(self, request: HttpRequest) -> tuple[Handler, str]:
        """Return the handler and the id in the path; raise PipelineError when there is none."""
        allowed = []
        parts = request.path.split("/")
        for route, pattern in self._routes:
            path_id = _match(pattern, parts)
            if path_id is None:
                continue
            if route.method == request.method:
                return route.handler, path_id
            allowed.append(route.method)
        if allowed:
            detail = f"{request.path} takes {', '.join(sorted(allowed))}"
            raise PipelineError(405, "method_not_allowed", detail, "method", Outcome.NOT_RUN)
        raise PipelineError(404, "unknown_path", f"there is nothing at {request.path}", "path")


def _match(pattern: list[str], parts: list[str]) -> str | None:
    if len(pattern) != len(parts):
        return None
    path_id = ""
    for expected, found in zip(pattern, parts, strict=True):
        if expected == "{id}":
            if not found:
                return None
            path_id = found
        elif expected != found:
            return None
    return path_id
