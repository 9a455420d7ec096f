"""The catalogue of numbered log events. docs/EVENTS.md is checked against it."""

from msgspec import Struct

from cloverwalk.core.events import LogLevel


class LogEvent(Struct, frozen=True):
    """One kind of log line."""

    number: int
    name: str
    level: LogLevel
    meaning: str


CATALOGUE: dict[int, LogEvent] = {}


def _event(number: int, name: str, level: LogLevel, meaning: str) -> int:
    CATALOGUE[number] = LogEvent(number, name, level, meaning)
    return number


_I, _W, _E = LogLevel.INFO, LogLevel.WARNING, LogLevel.ERROR

NODE_STARTED = _event(100, "node_started", _I, "The node serves; it has a table and sessions.")
NODE_STOPPING = _event(101, "node_stopping", _I, "A planned stop began.")
NODE_STOPPED = _event(102, "node_stopped", _I, "A planned stop ended with nothing in flight.")
NODE_DEPOSED = _event(
    103, "node_deposed", _W, "Other nodes took this node's leases; it starts anew."
)
PEER_SUSPECTED = _event(110, "peer_suspected", _W, "A member's beat stands still.")
LEASE_TAKEN = _event(200, "lease_taken", _I, "This node owns a replica or job shard.")
LEASE_LOST = _event(201, "lease_lost", _W, "Another node owns a resource this node had.")
LEASE_RELEASED = _event(202, "lease_released", _I, "This node gave up a resource.")
REPLICA_LEAVING = _event(210, "replica_leaving", _I, "First sign that a replica is leaving.")
MODEL_ORDERED = _event(220, "model_ordered", _I, "A replica is to load another model.")
MODEL_LOADED = _event(221, "model_loaded", _I, "A replica has loaded another model.")
REQUEST_RETRIED = _event(300, "request_retried", _W, "An online attempt was lost or refused.")
REQUEST_REFUSED = _event(301, "request_refused", _I, "A request was refused before it ran.")
REQUEST_GIVEN_UP = _event(302, "request_given_up", _W, "A request got a final error answer.")
RESULT_CONFLICT = _event(
    303, "result_conflict", _W, "An earlier recorded result stands in place of this run's."
)
BATCH_SUSPENDED = _event(400, "batch_suspended", _I, "A batch stream gave way to online work.")
JOB_ACCEPTED = _event(401, "job_accepted", _I, "A batch job is committed.")
JOB_FINISHED = _event(402, "job_finished", _I, "Every item of a job has a committed result.")
JOB_CANCELLED = _event(403, "job_cancelled", _I, "A cancelled job runs nowhere any more.")
JOB_LATE = _event(404, "job_late", _W, "At its present speed a job will miss its deadline.")
STORE_LOST = _event(500, "store_lost", _W, "The table service does not answer.")
STORE_BACK = _event(501, "store_back", _I, "The table service answers again.")
RESULT_HELD = _event(502, "result_held", _I, "A result is held in memory until it can be stored.")
HOLD_FULL = _event(503, "hold_full", _E, "No room to hold a result; the request failed.")
TABLE_CHANGED = _event(600, "table_changed", _I, "A newer version of the weight table is in force.")
TABLE_STALE = _event(601, "table_stale", _W, "The table is unconfirmed; no batch work starts.")
BAD_PEER_MESSAGE = _event(700, "bad_peer_message", _W, "A peer's message was not understood.")
UNEXPECTED = _event(900, "unexpected", _E, "A fault in the program; please report it.")
