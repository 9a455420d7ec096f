"""Reads the settings file of the platform."""

import os
from pathlib import Path

import msgspec
from msgspec import Struct, field

from cloverwalk.core.warmup_limit import WarmupBounds
from cloverwalk.gateway.draining_replicas import DEFAULT_DRAIN_S
from cloverwalk.platform import names
from cloverwalk.scheduling.quotas import QuotaBounds
from cloverwalk.serving.settings import (
    DEFAULT_CONFIGURATION_APPLY_S,
    DEFAULT_ZONE_DRAIN_APPLY_S,
    MachineLimits,
    ServingSettings,
    Tolerance,
)

MEMORY_PRESSURE = "pressure"
"""The contract under which requests can exhaust the memory of replicas and nodes."""


class PlatformSettingsError(ValueError):
    """The settings file is invalid; the message names the field."""


class _Listen(Struct):
    front: str
    ready: str
    control: str = ""


class _Limits(Struct):
    max_fds: int = 1024
    cpu_share: float = 1.0
    """Usable fraction of each core."""

    cpu_cores: float = 1.0
    memory_mb: float = 0.0
    link_mbps: float = 0.0


class _Bounds(Struct):
    grace_s: float = 8.0
    status_s: float = 120.0
    config_apply_ms: float = DEFAULT_CONFIGURATION_APPLY_S * 1000
    quota_window_s: float = QuotaBounds().window_s
    quota_overshoot: float = QuotaBounds().overshoot
    quota_slack: float = QuotaBounds().slack
    cold_overshoot: float = WarmupBounds().overshoot
    cold_slack: float = WarmupBounds().slack
    evacuate_ms: float = DEFAULT_ZONE_DRAIN_APPLY_S * 1000
    drain_ms: float = DEFAULT_DRAIN_S * 1000


class _Tolerate(Struct):
    zones: int = 0
    regions: int = 0
    machines: int = 0


class _Platform(Struct):
    address: str


class _File(Struct):
    node: str
    ip: str
    zone: str
    listen: _Listen
    platform: _Platform
    ephemeral_ports: tuple[int, int]
    seeds: list[str] = []
    contracts: list[str] = []
    region: str = ""
    zones: dict[str, str] = {}
    """Region of each zone."""

    limits: _Limits = field(default_factory=_Limits)
    bounds: _Bounds = field(default_factory=_Bounds)
    tolerate: _Tolerate = field(default_factory=_Tolerate)


def _address(text: str, name: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal():
        raise PlatformSettingsError(f"{name}: {text!r} is not HOST:PORT")
    return host, int(port)


def load_settings(path: Path | None = None) -> ServingSettings:
    """Return the current settings; raise PlatformSettingsError with a one-line message."""
    settings_path = path or Path(os.environ.get(names.SETTINGS_VARIABLE, names.SETTINGS_PATH))
    try:
        file = msgspec.toml.decode(settings_path.read_bytes(), type=_File)
    except OSError as error:
        raise PlatformSettingsError(f"{settings_path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise PlatformSettingsError(f"{settings_path}: {error}") from error
    first_port, last_port = file.ephemeral_ports
    return ServingSettings(
        file.node,
        file.zone,
        _address(file.listen.front, "listen.front"),
        _address(file.listen.ready, "listen.ready"),
        (file.ip, first_port),
        (file.ip, last_port),
        tuple(seed.rpartition(":")[0] for seed in file.seeds),
        file.platform.address,
        file.bounds.grace_s,
        file.limits.max_fds,
        file.bounds.status_s,
        file.limits.cpu_share * file.limits.cpu_cores,
        _quota_bounds(file.bounds),
        _machine_limits(file.limits),
        MEMORY_PRESSURE in file.contracts,
        _configuration_apply_s(file.bounds),
        _tolerance(file.tolerate),
        _warmup_bounds(file.bounds),
        _zone_drain_apply_s(file.bounds),
        file.region,
        file.zones,
        _replica_drain_s(file.bounds),
    )


def _machine_limits(limits: _Limits) -> MachineLimits:
    for name in ("memory_mb", "link_mbps"):
        if getattr(limits, name) < 0:
            raise PlatformSettingsError(f"limits.{name}: {getattr(limits, name)} is below 0")
    bytes_per_s = limits.link_mbps * 1e6 / 8
    return MachineLimits(int(limits.memory_mb * 1_000_000), bytes_per_s)


def _configuration_apply_s(bounds: _Bounds) -> float:
    if bounds.config_apply_ms <= 0:
        raise PlatformSettingsError(
            f"bounds.config_apply_ms: {bounds.config_apply_ms} is not a positive time"
        )
    return bounds.config_apply_ms / 1000


def _zone_drain_apply_s(bounds: _Bounds) -> float:
    if bounds.evacuate_ms <= 0:
        raise PlatformSettingsError(
            f"bounds.evacuate_ms: {bounds.evacuate_ms} is not a positive time"
        )
    return bounds.evacuate_ms / 1000


def _replica_drain_s(bounds: _Bounds) -> float:
    if not 0 <= bounds.drain_ms < float("inf"):
        raise PlatformSettingsError(f"bounds.drain_ms: {bounds.drain_ms} is not a time")
    return bounds.drain_ms / 1000


def _warmup_bounds(bounds: _Bounds) -> WarmupBounds:
    for name in ("cold_overshoot", "cold_slack"):
        if not 0 <= getattr(bounds, name) < float("inf"):
            raise PlatformSettingsError(f"bounds.{name}: {getattr(bounds, name)} is below 0")
    return WarmupBounds(bounds.cold_overshoot, bounds.cold_slack)


def _tolerance(tolerate: _Tolerate) -> Tolerance:
    for name in ("zones", "regions", "machines"):
        if getattr(tolerate, name) < 0:
            raise PlatformSettingsError(f"tolerate.{name}: {getattr(tolerate, name)} is below 0")
    return Tolerance(tolerate.zones, tolerate.regions, tolerate.machines)


def _quota_bounds(bounds: _Bounds) -> QuotaBounds:
    if bounds.quota_window_s <= 0:
        raise PlatformSettingsError(
            f"bounds.quota_window_s: {bounds.quota_window_s} is not a positive time"
        )
    for name in ("quota_overshoot", "quota_slack"):
        if getattr(bounds, name) < 0:
            raise PlatformSettingsError(f"bounds.{name}: {getattr(bounds, name)} is below 0")
    return QuotaBounds(bounds.quota_window_s, bounds.quota_overshoot, bounds.quota_slack)
