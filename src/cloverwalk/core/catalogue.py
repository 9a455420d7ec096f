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
DATAGRAM_NOT_SENT = _event(701, "datagram_not_sent", _W, "A message to a node was lost here.")
SERVING_STARTED = _event(104, "serving_started", _I, "A serving process has started.")
SERVING_STOPPING = _event(105, "serving_stopping", _I, "An order to stop came; jobs go over.")
SERVING_STOPPED = _event(106, "serving_stopped", _I, "A serving process ends by itself.")
SETTINGS_RELOADED = _event(107, "settings_reloaded", _I, "The settings were read again.")
SETTINGS_REFUSED = _event(108, "settings_refused", _E, "Changed settings are not valid.")
PEER_HEARD = _event(111, "peer_heard", _I, "A node was heard for the first time, or again.")
PEER_LOST = _event(112, "peer_lost", _W, "A node was not heard for some time.")
NODE_READY = _event(113, "node_ready", _I, "A process has what it needs to serve.")
FIRST_REQUEST_PLACED = _event(
    114, "first_request_placed", _I, "A process serves its first request."
)
MACHINE_SUSPENDED = _event(115, "machine_suspended", _W, "The machine was suspended for a time.")
NODE_FULL = _event(
    119, "node_full", _W, "The machine is nearly full, and fuller than its zone's; by resource."
)
NODE_TAKES_AGAIN = _event(120, "node_takes_again", _I, "The machine has room again.")
FULLNESS_INVALID = _event(
    121, "fullness_invalid", _W, "A figure of a machine's use can't be one; it was left out."
)
COORDINATOR_KNOWN = _event(205, "coordinator_known", _I, "Another leadership is in force.")
COORDINATOR_TAKEN = _event(206, "coordinator_taken", _I, "This node coordinates from now on.")
COORDINATOR_RESIGNED = _event(207, "coordinator_resigned", _W, "Another node coordinates now.")
COORDINATOR_SILENT = _event(208, "coordinator_silent", _W, "The coordinator does not answer.")
ROLE_INVALID = _event(209, "role_invalid", _W, "The row of the coordinator can't be read.")
ZONE_UNREACHABLE = _event(
    116, "zone_unreachable", _W, "A zone can't be reached from another one, as seen here."
)
ZONE_REACHABLE = _event(117, "zone_reachable", _I, "A zone is reached again, or it is tried.")
ZONE_SERVED = _event(
    230, "zone_served", _W, "A standby serves nodes of its zone: the coordinator is silent there."
)
ZONE_SERVED_NO_MORE = _event(
    231, "zone_served_no_more", _I, "The nodes of a zone have a coordinator again."
)
REPLICA_CHANGED = _event(211, "replica_changed", _I, "A replica came, or began to leave.")
REPLICA_REMOVED = _event(212, "replica_removed", _I, "A replica's entry is gone.")
REPLICA_INVALID = _event(213, "replica_invalid", _W, "A replica's entry can't be read.")
DIRECTORY_COPIED = _event(214, "directory_copied", _I, "The list of replicas came from a peer.")
REPLICA_RESTARTED = _event(
    215, "replica_restarted", _W, "A replica started again under its id; its runs are gone."
)
REPLICA_CHOSEN = _event(310, "replica_chosen", _I, "A request goes to this replica.")
REPLICA_FAILED = _event(311, "replica_failed", _W, "An attempt at a replica failed or was refused.")
REQUEST_ANSWERED = _event(312, "request_answered", _I, "A request has a replica's whole answer.")
REQUEST_ENDED = _event(313, "request_ended", _W, "A request ended without a replica's answer.")
CALL_REFUSED = _event(314, "call_refused", _W, "A call got an answer of this node's own.")
TENANT_REFUSED = _event(315, "tenant_refused", _W, "A tenant has sent what its quota allows.")
TENANT_WITHIN_QUOTA = _event(
    316, "tenant_within_quota", _I, "A tenant that was over its quota is refused nothing any more."
)
REPLICA_BROKE_OFF = _event(
    317, "replica_broke_off", _W, "A replica broke connections off; what its address did then."
)
REQUEST_CONTAINED = _event(
    318, "request_contained", _W, "Replicas ended under a request; it is not sent any more."
)
CONTAINMENT_ENDED = _event(
    319, "containment_ended", _I, "A contained request was answered, or its case is old."
)
CASE_INVALID = _event(320, "case_invalid", _W, "A stored case of a request can't be read.")
READERS_GIVEN_UP = _event(
    340, "readers_given_up", _W, "Clients that don't read were given up; how many, and most bytes."
)
JOB_TAKEN = _event(410, "job_taken", _I, "A job is in the store, or was found there.")
JOB_REFUSED = _event(411, "job_refused", _W, "A job was not taken, or it is not known.")
JOB_DROPPED = _event(412, "job_dropped", _I, "A job ended, or another node owns it.")
JOB_TAKEN_OVER = _event(413, "job_taken_over", _I, "This node runs a job that had no owner.")
JOB_NOT_TAKEN_OVER = _event(414, "job_not_taken_over", _W, "A takeover failed; it is tried again.")
JOB_HANDED_OVER = _event(415, "job_handed_over", _I, "A stopping node gave up a job.")
JOB_ENDED = _event(416, "job_ended", _I, "A caller ended a job.")
JOB_ORPHANED = _event(419, "job_orphaned", _I, "A job without an owner was given to a node.")
JOB_REMOVED = _event(417, "job_removed", _I, "A job's rows were removed after its retention.")
ITEMS_DEAD = _event(418, "items_dead", _W, "Items end without a result, and from what.")
ITEM_STARTED = _event(420, "item_started", _I, "An item goes to this replica.")
ITEM_RUN_ENDED = _event(421, "item_run_ended", _I, "A run of an item ended or gave way.")
ITEM_LISTED = _event(422, "item_listed", _I, "An item's result has its position.")
REPLICA_PACE_CHANGED = _event(
    330,
    "replica_pace_changed",
    _I,
    "A replica works faster or slower than usual, or as usual again.",
)
SLOT_TIME = _event(
    430, "slot_time", _I, "Slot-seconds of the replicas since the last such line, by use."
)
TENANTS_HELD_BACK = _event(
    440,
    "tenants_held_back",
    _I,
    "Requests were sent away since their tenants had more than others.",
)
FEED_LOST = _event(510, "feed_lost", _W, "A table of the store can't be followed.")
FEED_BACK = _event(511, "feed_back", _I, "A table of the store is followed again.")
HISTORY_LOST = _event(512, "history_lost", _W, "Changes of a table are gone; it is read anew.")
CONFIGURATION_TAKEN = _event(610, "configuration_taken", _I, "A newer configuration is in force.")
FEATURE_CHANGED = _event(
    613, "feature_changed", _I, "A part of the policy is on or off from now on, and why."
)
STORE_CLOCK_JUMPED = _event(
    612, "store_clock_jumped", _W, "An answer of the store contradicts its time as known so far."
)
CONFIGURATION_INVALID = _event(611, "configuration_invalid", _E, "A configuration can't be read.")
UNEXPECTED = _event(900, "unexpected", _E, "A fault in the program; please report it.")
LINES_DROPPED = _event(902, "lines_dropped", _W, "Lines were left out, counted by number.")
