"""Settings of a node and of the emulators, with their bounds.

Names include units. ``check`` in :mod:`cloverwalk.config.loader` reports every fault of a
file at once.
"""

from typing import Annotated

from msgspec import Meta, Struct, field

Port = Annotated[int, Meta(ge=0, le=65535)]
Seconds = Annotated[float, Meta(gt=0, le=86400)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern=r"^[A-Za-z0-9_-]{1,64}$")]
Host = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
Address = Annotated[str, Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]


class HttpSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits and timeouts of the HTTP server."""

    max_connections: Count = 2000
    max_header_bytes: Count = 16 * 1024
    max_body_bytes: Count = 64 * 1024 * 1024
    max_online_body_bytes: Count = 1024 * 1024
    header_timeout_s: Seconds = 10.0
    body_timeout_s: Seconds = 30.0
    idle_timeout_s: Seconds = 75.0
    max_stream_buffer_bytes: Count = 1024 * 1024


class LeaseSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Ownership of replicas and job shards."""

    lease_s: Seconds = 6.0
    renew_s: Seconds = 2.0
    check_s: Seconds = 0.5
    rebalance_after_s: Seconds = 10.0
    shards_per_zone: Count = 8


class GossipSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Gossip between nodes for membership."""

    interval_s: Seconds = 0.5
    fanout: Count = 3
    digests_per_message: Count = 12
    bytes_per_s: Count = 2000
    contacts_per_zone: Count = 3
    suspect_after_s: Seconds = 3.0
    forget_after_s: Seconds = 600.0


class TableSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Distribution of the weight table."""

    poll_s: Seconds = 1.0
    stale_after_s: Seconds = 5.0


class OnlineSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits, deadlines and retries of online requests."""

    default_deadline_s: Seconds = 30.0
    max_deadline_s: Seconds = 600.0
    max_in_flight: Count = 4000
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.1
    retry_reserve: Annotated[float, Meta(ge=1)] = 20.0
    max_attempts: Count = 4
    max_queue_per_replica: Annotated[int, Meta(ge=0)] = 8
    remembered_results: Count = 2000


class BatchSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Sizes and intervals of batch jobs."""

    max_items: Count = 78_000
    part_items: Count = 500
    segment_items: Count = 256
    flush_s: Seconds = 0.5
    max_unflushed_items: Count = 4000
    rescan_s: Seconds = 5.0


class SchedulerSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """How batch work is limited and preempted. ``policy`` may name a baseline for experiments."""

    policy: Annotated[
        str,
        Meta(pattern="^(cloverwalk|online-only|batch-only|fifo|static-partition|priority-only)$"),
    ] = "cloverwalk"
    step_goal_s: Seconds = 0.029
    reserve_min_slots: Annotated[int, Meta(ge=0)] = 1
    peak_half_life_s: Seconds = 1.0
    online_quiet_s: Annotated[float, Meta(ge=0)] = 0.1
    short_prompt_tokens: Annotated[int, Meta(ge=0)] = 200
    batch_prefill_tokens_per_s_beside_online: Annotated[float, Meta(ge=0)] = 4000.0


class HoldSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Results held in memory while the table service does not answer."""

    copies: Annotated[int, Meta(ge=1, le=4)] = 2
    max_results: Count = 5000


class NodeSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node."""

    node_id: Name
    zone: Name
    platform: Address
    host: Host = "127.0.0.1"
    http_port: Port = 8080
    peer_port: Port = 9080
    peers: list[Address] = []
    http: HttpSettings = field(default_factory=HttpSettings)
    lease: LeaseSettings = field(default_factory=LeaseSettings)
    gossip: GossipSettings = field(default_factory=GossipSettings)
    table: TableSettings = field(default_factory=TableSettings)
    online: OnlineSettings = field(default_factory=OnlineSettings)
    batch: BatchSettings = field(default_factory=BatchSettings)
    scheduler: SchedulerSettings = field(default_factory=SchedulerSettings)
    hold: HoldSettings = field(default_factory=HoldSettings)
    drain_timeout_s: Seconds = 60.0


class EngineEmulatorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the engine emulator, which models a continuously batching engine."""

    replica_id: Name
    zone: Name
    model: Name = "quizmind"
    host: Host = "127.0.0.1"
    port: Port = 9200
    platform: str = ""
    slots: Count = 16
    prefill_tokens_per_s: Annotated[float, Meta(gt=0)] = 20_000.0
    step_base_s: Annotated[float, Meta(gt=0)] = 0.010
    step_per_stream_s: Annotated[float, Meta(ge=0)] = 0.0005
    cache_tokens: Count = 20_000
    load_lag_s: Annotated[float, Meta(ge=0)] = 0.5
    event_lag_s: Annotated[float, Meta(ge=0)] = 0.3
    event_loss: Annotated[float, Meta(ge=0, le=1)] = 0.02


class PlatformEmulatorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the platform emulator."""

    host: Host = "127.0.0.1"
    port: Port = 9100
    calls_per_s: Annotated[float, Meta(gt=0)] = 2000.0
    weight_bytes_per_s: Annotated[float, Meta(gt=0)] = 50_000_000.0
    machine_lag_s: Annotated[float, Meta(ge=0)] = 1.0


class SettingsFile(Struct, frozen=True, forbid_unknown_fields=True):
    """A settings file with a section for each of the three programs, all optional."""

    node: NodeSettings | None = None
    engine: EngineEmulatorSettings | None = None
    platform: PlatformEmulatorSettings | None = None
