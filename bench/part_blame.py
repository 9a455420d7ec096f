"""Compares ways to find the part of a prompt that crashes replicas, on simulated fleets.

Six replicas run requests whose prompts have a popular part, a topic, a session and a part of their
own. A guilty part crashes its replica when its answer begins; all requests there are sent again
once. What is observed is known to all nodes after ``SYNC_DELAY_S``. Each way plays the same seeds.
"""

import heapq
import statistics
import time
from collections import defaultdict
from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

import attrs

from cloverwalk.fleet.messages import CrashCases, encode_datagram
from cloverwalk.gateway.crash_keys import REQUEST_MARK_CHARACTERS, RequestKeys, part_key
from cloverwalk.gateway.crash_ledger import (
    CONTAINMENT_THRESHOLD,
    MAX_INCARNATIONS,
    MAX_SHARED_RECORDS,
    Containment,
    CrashLedger,
)
from cloverwalk.gateway.part_blame import NEW_PART, rounds
from cloverwalk.gateway.software_versions import Software

SEEDS = 20
SPAN_S = 30.0
TROUBLE_AT_S = 8.0
REPLICAS = 6
SLOTS = 17
SOUND_PER_S = 60.0
RUN_RANGE_S = (0.15, 0.6)
CRASH_DELAY_S = 0.07
DOWNTIME_S = 3.0
SYNC_DELAY_S = 0.1
SYNC_TIMEOUT_S = 3.0
ALLOWED_CRASHES = 5
MAX_ATTEMPTS = 2
TOPICS = 20
REQUESTS_PER_SESSION = 4
SOFTWARE = Software("model", "v1")
COST_REPEATS = 100

Way = Callable[[CrashLedger, RequestKeys, float], bool]
"""Whether a request may be sent, by what is known at a time."""


def by_content(ledger: CrashLedger, keys: RequestKeys, now: float) -> bool:
    """The whole content only."""
    return ledger.containment(keys.content, now) is not Containment.CONTAINED


def by_count(ledger: CrashLedger, keys: RequestKeys, now: float) -> bool:
    """Three crashes under a part since it was last answered."""
    return by_content(ledger, keys, now) and all(
        ledger.crashes(key) < CONTAINMENT_THRESHOLD for key in keys.part_keys(SOFTWARE)
    )


def by_rounds(ledger: CrashLedger, keys: RequestKeys, now: float) -> bool:
    """Three crashes that follow each other, by two requests, each part on its own."""
    for key in keys.part_keys(SOFTWARE):
        entry = ledger._entries.get(key)
        crashes = [] if entry is None else list(entry.crashed.values())
        if rounds(crashes) >= NEW_PART.min_rounds and len({c.request for c in crashes}) > 1:
            return False
    return by_content(ledger, keys, now)


def by_evidence(ledger: CrashLedger, keys: RequestKeys, now: float) -> bool:
    """What is built: the same, less what a part with more evidence explains."""
    return ledger.containing_key(keys, now) is None


@attrs.frozen
class Scenario:
    """What goes wrong."""

    name: str
    guilty_per_s: tuple[float, ...] = ()
    """Rate of each guilty part's requests."""

    mass_crash_interval_s: float = 0.0
    """Interval at which all replicas crash; 0: never."""

    mass_crash_gap_s: float = 0.0
    """Delay between two of these crashes."""

    is_fresh: bool = False
    """Whether nothing was answered before the trouble begins."""

    topics: int = TOPICS
    is_gathered: bool = False
    """Whether requests under whose parts a replica has crashed go to one replica."""


SCENARIOS = (
    Scenario("guilty 3 a second", (3.0,)),
    Scenario("guilty 10 a second", (10.0,)),
    Scenario("guilty 0.4 a second", (0.4,)),
    Scenario("three guilty parts, 2 a second each", (2.0, 2.0, 2.0)),
    Scenario("guilty 3 a second, 400 topics", (3.0,), topics=400),
    Scenario("guilty 3 a second, fleet just started", (3.0,), is_fresh=True),
    Scenario("guilty 10 a second, fleet just started", (10.0,), is_fresh=True),
    Scenario("all replicas crash each 5 s", mass_crash_interval_s=5.0),
    Scenario("the same, fleet just started", mass_crash_interval_s=5.0, is_fresh=True),
    Scenario("one after the other, 0.4 s apart", (), 5.0, 0.4),
    Scenario("the same, 400 topics", (), 5.0, 0.4, topics=400),
    Scenario("guilty 3 a second, suspects at one replica", (3.0,), is_gathered=True),
)


@attrs.define
class Request:
    """A request of a client."""

    keys: RequestKeys
    guilty: str
    attempts: int = 0


@attrs.define
class Replica:
    """A replica with its requests."""

    name: str
    running: dict[int, tuple[Request, float]] = attrs.Factory(dict)
    """Requests and when they were sent, by the number of the run."""


@attrs.define
class Outcome:
    """What a play has shown."""

    crashed_at: list[float] = attrs.Factory(list)
    crashes_by_part: dict[str, list[float]] = attrs.Factory(lambda: defaultdict(list))
    """Times at which replicas crashed that ran requests with each guilty part."""

    sent_by_part: dict[str, list[float]] = attrs.Factory(lambda: defaultdict(list))
    sound: int = 0
    served: int = 0
    refused: int = 0
    """Sound requests refused as contained."""

    @property
    def late(self) -> int:
        """The most requests with one guilty part that were sent later than ``SYNC_TIMEOUT_S`` after
        the fifth crash under it."""
        return max((self._late(part) for part in self.sent_by_part), default=0)

    def _late(self, part: str) -> int:
        crashed_at = self.crashes_by_part[part]
        if len(crashed_at) < ALLOWED_CRASHES:
            return 0
        since = crashed_at[ALLOWED_CRASHES - 1] + SYNC_TIMEOUT_S
        return sum(at > since for at in self.sent_by_part[part])


class Fleet:
    """A simulated fleet, for one scenario, way and seed."""

    def __init__(self, scenario: Scenario, way: Way, seed: int) -> None:
        self.outcome = Outcome()
        self._scenario = scenario
        self._way = way
        self._random = Random(seed)
        self._ledger = CrashLedger()
        self._ledger.grants_trials = True
        self._numbers = count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._replicas = [Replica(f"i-{number}") for number in range(REPLICAS)]

    def play(self) -> Outcome:
        """Play the whole span."""
        start = TROUBLE_AT_S if self._scenario.is_fresh else 0.0
        self._at(start, lambda: self._arrive(SOUND_PER_S, ""))
        for number, rate in enumerate(self._scenario.guilty_per_s):
            guilty = f"guilty{number}"
            self._at(TROUBLE_AT_S, partial(self._arrive, rate, guilty))
        if self._scenario.mass_crash_interval_s:
            self._at(TROUBLE_AT_S + 0.2, self._crash_all)
        while self._events and self._now < SPAN_S:
            self._now, _, call = heapq.heappop(self._events)
            call()
        return self.outcome

    def _at(self, at: float, call: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), call))

    def _after(self, delay_s: float, call: Callable[[], None]) -> None:
        self._at(self._now + delay_s, call)

    def _arrive(self, rate: float, guilty: str) -> None:
        self._after(self._random.expovariate(rate), lambda: self._arrive(rate, guilty))
        number = next(self._numbers)
        # Popular topics are asked for often, the others rarely.
        topic = int(self._scenario.topics * self._random.random() ** 3)
        parts = ["popular", f"topic{topic}", f"session{number // (10 * REQUESTS_PER_SESSION)}"]
        if guilty:
            parts.insert(self._random.randrange(4), guilty)
        request = Request(RequestKeys(f"{number:020x}", tuple(parts)), guilty)
        self.outcome.sound += not guilty
        self._send(request)

    def _send(self, request: Request) -> None:
        alive = [replica for replica in self._replicas if len(replica.running) < SLOTS]
        if not self._way(self._ledger, request.keys, self._now):
            self.outcome.refused += not request.guilty
            return
        if not alive:
            return
        for key in self._ledger.keys_with_crashes(request.keys):
            self._ledger.try_admit(key, self._now)
        replica = min(alive, key=lambda one: (len(one.running), self._random.random()))
        if self._scenario.is_gathered and self._ledger.suspect_key(request.keys) is not None:
            replica = alive[0]
        request.attempts += 1
        run = next(self._numbers)
        replica.running[run] = (request, self._now)
        if request.guilty:
            self.outcome.sent_by_part[request.guilty].append(self._now)
            self._after(CRASH_DELAY_S, lambda: self._crash_by(replica, run))
        else:
            self._after(self._random.uniform(*RUN_RANGE_S), lambda: self._finish(replica, run))

    def _finish(self, replica: Replica, run: int) -> None:
        request, _ = replica.running.pop(run, (None, 0.0))
        if request is None:
            return
        self.outcome.served += 1
        at = self._now
        self._after(SYNC_DELAY_S, lambda: self._note_answer(request.keys, at))

    def _note_answer(self, keys: RequestKeys, at: float) -> None:
        for key in (keys.content, *keys.part_keys(SOFTWARE)):
            self._ledger.note_answer(key, at)

    def _crash_by(self, replica: Replica, run: int) -> None:
        if run in replica.running:
            self._crash(replica)

    def _crash_all(self) -> None:
        for number, replica in enumerate(list(self._replicas)):
            delay_s = number * self._scenario.mass_crash_gap_s
            self._after(delay_s, partial(self._crash, replica))
        self._after(self._scenario.mass_crash_interval_s, self._crash_all)

    def _crash(self, replica: Replica) -> None:
        if replica not in self._replicas:
            return
        self._replicas.remove(replica)
        self.outcome.crashed_at.append(self._now)
        lost, at = list(replica.running.values()), self._now
        for part in {request.guilty for request, _ in lost} - {""}:
            self.outcome.crashes_by_part[part].append(at)
        replica.running.clear()
        self._after(SYNC_DELAY_S, lambda: self._note_crash(replica, lost, at))
        self._after(DOWNTIME_S, self._add)
        for request, _ in lost:
            if request.attempts < MAX_ATTEMPTS:
                # A node waits for the first probe of the replica before it sends again.
                self._after(0.002, partial(self._send, request))

    def _add(self) -> None:
        self._replicas.append(Replica(f"i-{next(self._numbers)}"))

    def _note_crash(self, replica: Replica, lost: list[tuple[Request, float]], at: float) -> None:
        last_sent: dict[str, tuple[float, str]] = {}
        for request, sent_at in lost:
            content = request.keys.content
            self._ledger.note_crash(content, replica.name, at)
            for part_id in request.keys.part_ids:
                sent = (sent_at, content[-REQUEST_MARK_CHARACTERS:])
                last_sent[part_id] = max(sent, last_sent.get(part_id, sent))
        for part_id, (sent_at, mark) in last_sent.items():
            key = part_key(part_id, SOFTWARE)
            self._ledger.note_crash(key, replica.name, at, sent_at, mark)


def note_answers(ledger: CrashLedger, keys: RequestKeys) -> None:
    """Record the answer of a request for its parts."""
    for key in keys.part_keys(SOFTWARE):
        ledger.note_answer(key, ledger._answered_at.get(key, 0.0) + 0.001)


def print_costs() -> None:
    """Print what the records of parts cost."""
    ledger = CrashLedger()
    for part in range(MAX_SHARED_RECORDS):
        key = part_key(f"part{part}", SOFTWARE)
        for crash in range(MAX_INCARNATIONS):
            at, replica = 10.0 + crash, f"i-{part % 7:010x}{crash}@506c01"
            ledger.note_crash(key, replica, at, at - 0.5, f"{crash:06x}")
    message = encode_datagram(CrashCases(ledger.shared_records(30.0)))
    print(f"records of {MAX_SHARED_RECORDS} parts: {len(message)} bytes")
    began = time.perf_counter()
    for _ in range(COST_REPEATS):
        ledger._blame = None
        ledger._current_blame()
    spent_ms = 1000 * (time.perf_counter() - began) / COST_REPEATS
    print(
        f"blame among {MAX_SHARED_RECORDS} parts with {MAX_INCARNATIONS} crashes: {spent_ms:.2f} ms"
    )
    keys = RequestKeys("c" * 20, ("popular", "topic", "session"))
    empty = CrashLedger()
    calls: dict[str, Callable[[], object]] = {
        "check, no records": lambda: empty.containing_key(keys, 30.0),
        "check, full ledger": lambda: ledger.containing_key(keys, 30.0),
        "answer of three parts": lambda: note_answers(empty, keys),
    }
    for name, call in calls.items():
        began = time.perf_counter()
        for _ in range(COST_REPEATS * 100):
            call()
        print(f"{name}: {1e6 * (time.perf_counter() - began) / COST_REPEATS / 100:.1f} us")


def main() -> None:
    """Print a line for each scenario and way, then what the records cost."""
    print_costs()
    print("scenario; way; crashes mean (most); late mean (most); sound served, refused of 100")
    for scenario in SCENARIOS:
        for way in (by_content, by_count, by_rounds, by_evidence):
            outcomes = [Fleet(scenario, way, seed).play() for seed in range(SEEDS)]
            crashes = [len(outcome.crashed_at) for outcome in outcomes]
            late = [outcome.late for outcome in outcomes]
            sound = sum(outcome.sound for outcome in outcomes)
            print(
                f"{scenario.name}; {way.__name__}; "
                f"{statistics.mean(crashes):.1f} ({max(crashes)}); "
                f"{statistics.mean(late):.1f} ({max(late)}); "
                f"{100 * sum(o.served for o in outcomes) / sound:.1f}, "
                f"{100 * sum(o.refused for o in outcomes) / sound:.2f}",
                flush=True,
            )


if __name__ == "__main__":
    main()
