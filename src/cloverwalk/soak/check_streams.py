"""Checks streams over their clients' attempts: software versions, and that they go on.

A stream may hold events of one software version only, in one answer or over several attempts. Of
the streams that clients resume in calm times, enough must go on.
"""

from collections import Counter
from collections.abc import Iterator

import attrs

from cloverwalk.soak.events import (
    AnswerSeen,
    ClientLeft,
    ReplicaStarted,
    ReplicaStopped,
    RequestSent,
    RunBegan,
)
from cloverwalk.soak.texts import version_of
from cloverwalk.soak.violations import Disturbances, Violation

MIN_RESUMPTIONS = 12
"""Below this number of resumptions in calm times, their share is not checked; the platform's
rule."""

MIN_RELATIVE_SHARE = 0.5
"""Lower bound of the share of resumed streams that go on, relative to the share of new streams that
begin; the platform's rule."""

MIN_REPLICAS = 2
"""Ready replicas of its service that a stream's software version must have for its resumption to
count. Those of other services can't run it."""


@attrs.define
class _Stream:
    """A stream from its first request on."""

    versions: set[str] = attrs.Factory(set)
    """Software versions that its events show."""

    first_version: str = ""
    """The version of its first event that a client received."""

    service: str = ""
    """Service of its last run; a route may move to another one."""


@attrs.define
class _Share:
    """How many of the counted requests were answered with events."""

    total: int = 0
    served: int = 0

    @property
    def value(self) -> float:
        """The share, 1.0 if none was counted."""
        return self.served / self.total if self.total else 1.0


class StreamChecks:
    """Tracks the streams that clients may resume."""

    def __init__(self, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._sent: dict[str, RequestSent] = {}
        self._streams: dict[str, _Stream] = {}
        """By the id of the request that began the stream."""

        self._ready: dict[str, tuple[str, str]] = {}
        """Service and software version of each ready replica."""

        self.take_ups: Counter[str] = Counter()
        """How streams ended that were taken up at a node out of step: ``went on``, the error code
        of the refusal or ``no answer``."""

        self.begun = _Share()
        self.resumed = _Share()

    def handle(self, event: object) -> Iterator[Violation]:
        """Process an event and yield the violations that it shows."""
        match event:
            case RequestSent() if event.is_resumable:
                self._sent[event.request] = event
            case AnswerSeen() if event.request in self._sent:
                self._count(self._sent[event.request], event)
                self._count_take_up(event.request, event.status == 200, event.code)
                yield from self._check_versions(event.request, event.texts, event.at)
            case ClientLeft() if event.request in self._sent:
                self._count_take_up(event.request, bool(event.texts))
                yield from self._check_versions(event.request, event.texts, event.at)
            case RunBegan() if event.request in self._sent:
                self._stream_of(event.request).service = event.service
            case ReplicaStarted():
                self._ready[event.replica] = event.service, event.software_version
            case ReplicaStopped():
                self._ready.pop(event.replica, None)

    def _count_take_up(self, request: str, has_gone_on: bool, code: str = "") -> None:
        if self._sent[request].is_take_up:
            self.take_ups["went on" if has_gone_on else code or "no answer"] += 1

    def _stream_of(self, request: str) -> _Stream:
        origin = self._sent[request].resumes or request
        return self._streams.setdefault(origin, _Stream())

    def _check_versions(self, request: str, texts: list[str], at: float) -> Iterator[Violation]:
        stream = self._stream_of(request)
        for text in texts:
            version = version_of(text)
            stream.first_version = stream.first_version or version
            if version not in stream.versions and stream.versions:
                sent = self._sent[request]
                message = (
                    f"stream {sent.resumes or request} began at software version"
                    f" {stream.first_version} and went on at {version}, at node {sent.node}"
                )
                yield Violation(at, "software versions", request, message)
            stream.versions.add(version)

    def _count(self, sent: RequestSent, answer: AnswerSeen) -> None:
        """Count an answer in calm times for the shares."""
        if not self._disturbances.is_calm(sent.at, answer.at, sent.node):
            return
        share = self.begun
        if sent.resumes:
            stream = self._streams.get(sent.resumes, _Stream())
            ready = list(self._ready.values())
            if any(
                ready.count((stream.service, version)) < MIN_REPLICAS for version in stream.versions
            ):
                return
            share = self.resumed
        share.total += 1
        share.served += answer.status == 200

    def finish(self, at: float) -> Iterator[Violation]:
        """Compare the shares at the end of a whole history."""
        if self.resumed.total < MIN_RESUMPTIONS:
            return
        if self.resumed.value < MIN_RELATIVE_SHARE * self.begun.value:
            message = (
                f"{self.resumed.served} of {self.resumed.total} resumed streams went on,"
                f" {self.begun.served} of {self.begun.total} new ones began"
            )
            yield Violation(at, "lost streams", "", message)
