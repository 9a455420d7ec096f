"""The history of a soak: its events in order, stored as JSON lines."""

from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import msgspec

from cloverwalk.soak.errors import SoakInputError
from cloverwalk.soak.events import (
    AllQuiet,
    AnswerSeen,
    ClientLeft,
    ConfigurationWritten,
    CrowdMoved,
    FaultBegan,
    FaultEnded,
    NodeGone,
    NodeSettled,
    NodeSignalled,
    NodeStarted,
    ReadinessSeen,
    ReplicaStarted,
    ReplicaStopped,
    RequestSent,
    RunBegan,
    RunEnded,
    VersionTold,
    ZoneDrained,
    ZoneDrainLifted,
)
from cloverwalk.soak.job_events import (
    ItemRead,
    JobAnswered,
    JobEndAnswered,
    JobEndSent,
    JobRead,
    JobSent,
)

Event = (
    ConfigurationWritten
    | NodeStarted
    | NodeSignalled
    | NodeGone
    | ReadinessSeen
    | VersionTold
    | NodeSettled
    | FaultBegan
    | FaultEnded
    | RequestSent
    | AnswerSeen
    | ClientLeft
    | RunBegan
    | RunEnded
    | ReplicaStarted
    | ReplicaStopped
    | CrowdMoved
    | JobSent
    | JobAnswered
    | JobRead
    | ItemRead
    | JobEndSent
    | JobEndAnswered
    | AllQuiet
    | ZoneDrained
    | ZoneDrainLifted
)

_decoder = msgspec.json.Decoder(Event)


class History:
    """Writes events to a file and passes each to the listeners."""

    def __init__(self, path: Path, clock: Callable[[], float]) -> None:
        self._file = path.open("wb", buffering=1 << 16)
        self._clock = clock
        self._started_at = clock()
        self._listeners: list[Callable[[Any], None]] = []
        self.event_count = 0

    def now(self) -> float:
        """Return the seconds since the start of the soak."""
        return round(self._clock() - self._started_at, 4)

    def add_listener(self, listener: Callable[[Any], None]) -> None:
        """Register a function that is called with every event."""
        self._listeners.append(listener)

    def record(self, event: Any) -> None:
        """Write an event with the current time."""
        stamped = msgspec.structs.replace(event, at=self.now())
        self._file.write(msgspec.json.encode(stamped) + b"\n")
        self.event_count += 1
        for listener in self._listeners:
            listener(stamped)

    def close(self) -> None:
        """Flush and close the file."""
        self._file.close()


def read_history(path: Path) -> Iterator[Any]:
    """Yield the events of a file; raise SoakInputError if a line is not an event."""
    with path.open("rb") as file:
        for number, line in enumerate(file, 1):
            try:
                yield _decoder.decode(line)
            except msgspec.DecodeError as error:
                raise SoakInputError(f"{path}:{number}: {error}") from error
