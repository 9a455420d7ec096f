"""Settings of a serving node; an adapter reads them from the settings of its platform."""

from msgspec import Struct

from cloverwalk.core.warmup_limit import WarmupBounds
from cloverwalk.gateway.draining_replicas import DEFAULT_DRAIN_S
from cloverwalk.scheduling.quotas import QuotaBounds

DEFAULT_CONFIGURATION_APPLY_S = 2.0
"""Default of ``ServingSettings.configuration_apply_s``."""

DEFAULT_ZONE_DRAIN_APPLY_S = 5.0
"""Default of ``ServingSettings.zone_drain_apply_s``."""


class MachineLimits(Struct, frozen=True):
    """Resource limits of the machine; 0 means that a limit is not known."""

    memory_bytes: int = 0
    link_bytes_per_s: float = 0.0
    """Network bandwidth in each direction."""


class Tolerance(Struct, frozen=True):
    """How many units of each kind may fail at once while the others are still served."""

    zones: int = 0
    regions: int = 0
    machines: int = 0


class ServingSettings(Struct, frozen=True):
    """The validated settings of one process."""

    node: str
    zone: str
    client_address: tuple[str, int]
    ready_address: tuple[str, int]
    peer_address: tuple[str, int]
    metrics_address: tuple[str, int] | None
    seeds: tuple[str, ...]
    """Hosts of other nodes to contact at the start; not all need to be running."""

    store_address: str
    grace_s: float
    """Time from the stop signal until the platform kills the process."""

    max_descriptors: int
    status_s: float
    """How long a job can be read after its submission."""

    cores: float = 1.0
    """Processor capacity of the machine, in cores."""

    quota_bounds: QuotaBounds = QuotaBounds()
    """Allowed deviation from the quotas of tenants."""

    machine: MachineLimits = MachineLimits()
    is_memory_scarce: bool = False
    """Whether requests can exhaust the memory of replicas and nodes."""

    configuration_apply_s: float = DEFAULT_CONFIGURATION_APPLY_S
    """Time within which a configuration change must be in force on every node."""

    tolerance: Tolerance = Tolerance()
    """Failures that the deployment must tolerate."""

    warmup_bounds: WarmupBounds = WarmupBounds()
    """Allowed deviation from the rate limit of replicas that are warming up."""

    zone_drain_apply_s: float = DEFAULT_ZONE_DRAIN_APPLY_S
    """Time within which a drain of a zone must be in force on every node."""

    region: str = ""
    """Region of the node's zone; empty if not configured."""

    region_by_zone: dict[str, str] = {}
    """Region of each zone of the deployment."""

    replica_drain_s: float = DEFAULT_DRAIN_S
    """Time for which a draining replica still serves."""
