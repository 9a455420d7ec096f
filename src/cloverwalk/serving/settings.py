"""What a serving node must know to start. An adapter reads it from its own form."""

from msgspec import Struct

from cloverwalk.scheduling.quotas import QuotaBounds


class MachineLimits(Struct, frozen=True):
    """What a machine gives the process; 0 stands for a limit that is not told."""

    memory_bytes: int = 0
    link_bytes_per_s: float = 0.0
    """What its link carries, in each direction."""


class Tolerance(Struct, frozen=True):
    """What may be lost at once while all others are served; 0 stands for nothing of the kind."""

    zones: int = 0
    regions: int = 0
    machines: int = 0


class ServingSettings(Struct, frozen=True):
    """Checked settings of one process."""

    node: str
    zone: str
    client_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_address: tuple[str, int]
    metrics_address: tuple[str, int] | None
    seeds: tuple[str, ...]
    """Hosts of nodes that may be up."""

    store_address: str
    grace_s: float
    """Time between the order to stop and the end by force."""

    max_descriptors: int
    status_s: float
    """Time for which a job can be read after it was handed in."""

    cores: float = 1.0
    """Processor of the machine, in cores."""

    quota_bounds: QuotaBounds = QuotaBounds()
    """How far counts of tenants' requests may be off."""

    machine: MachineLimits = MachineLimits()
    is_memory_scarce: bool = False
    """Whether replicas and nodes can run out of memory by what they hold for requests."""

    tolerance: Tolerance = Tolerance()
    """What the deployment has to bear the loss of."""
