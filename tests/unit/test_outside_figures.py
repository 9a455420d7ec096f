"""Values that callers, replicas and the configuration send about load, length and limits."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cloverwalk.gateway.configuration import (
    ClientLimits,
    Configuration,
    ConfigurationHolder,
    Service,
)
from cloverwalk.gateway.messages import ReplicaLoad
from cloverwalk.platform.codec import PlatformCodec
from cloverwalk.platform.documents import decode_configuration
from cloverwalk.platform.settings import PlatformSettingsError, load_settings
from cloverwalk.scheduling.features import Feature, Features, FeatureState
from cloverwalk.serving.settings import DEFAULT_CONFIGURATION_APPLY_S, MachineLimits, Tolerance

SETTINGS = """
node = "n"
ip = "127.0.0.1"
zone = "z"
ephemeral_ports = [7720, 7735]
contracts = ["base", "pressure"]
[listen]
front = "127.0.0.1:1"
ready = "127.0.0.1:2"
[platform]
address = "127.0.0.1:3"
[limits]
memory_mb = 160
link_mbps = 11.0
"""


def _load(text: str) -> ReplicaLoad | None:
    return PlatformCodec().answer_fields([(b"X-Cloverwalk-Server-Load", text.encode())]).load


def test_load_header_has_slowdown() -> None:
    assert _load("3,0,8") == ReplicaLoad(3, 0, 8)
    assert _load("3, 1, 8, 250") == ReplicaLoad(3, 1, 8, slowdown=2.5)


@pytest.mark.parametrize("value", ["0", "-5", "nan", "1e3", "99999", "", "\u0665", "1" * 5000])
def test_invalid_slowdown_is_dropped_and_counts_are_kept(value: str) -> None:
    header = (b"X-Cloverwalk-Server-Load", f"3,0,8,{value}".encode())
    load = PlatformCodec().answer_fields([header]).load
    assert load == ReplicaLoad(3, 0, 8, has_invalid_slowdown=True)


@given(st.text(max_size=30))
def test_invalid_load_header_does_not_raise(text: str) -> None:
    PlatformCodec().answer_fields([(b"X-Cloverwalk-Server-Load", text.encode("utf-8"))])


def test_request_headers_have_token_counts() -> None:
    headers = [(b"X-Cloverwalk-Token-Usage", b"1460,80"), (b"X-Cloverwalk-Length-Hint", b"35")]
    fields = PlatformCodec().request_fields(headers)
    lengths = (fields.prompt_tokens, fields.max_output_tokens, fields.hinted_output_tokens)
    assert lengths == (1460, 80, 35)


@pytest.mark.parametrize("value", ["", "1460", "a,b", "1,-2", "1,2,3", "9" * 4000 + ",1"])
def test_invalid_token_counts_are_ignored(value: str) -> None:
    headers = [(b"X-Cloverwalk-Token-Usage", value.encode())]
    headers.append((b"X-Cloverwalk-Length-Hint", b"-1"))
    fields = PlatformCodec().request_fields(headers)
    assert (fields.prompt_tokens, fields.max_output_tokens) == (0, 0)
    assert fields.hinted_output_tokens == 0


def test_service_configuration_has_replica_memory() -> None:
    raw = b'{"version":1,"services":[{"name":"s","engine":{"slots":8,"kv_cache_tokens":72000,'
    raw += b'"stride":13}}]}'
    assert decode_configuration(raw).services["s"] == Service("s", 8, 0, 72000, 13)


def test_settings_have_machine_limits(tmp_path_factory: pytest.TempPathFactory) -> None:
    path = tmp_path_factory.mktemp("settings") / "local.toml"
    path.write_text(SETTINGS)
    settings = load_settings(path)
    assert settings.machine == MachineLimits(160_000_000, 1_375_000.0)
    assert settings.is_memory_scarce
    path.write_text(SETTINGS.replace("11.0", "-1"))
    with pytest.raises(PlatformSettingsError, match="limits.link_mbps"):
        load_settings(path)


def test_settings_have_tolerated_losses(tmp_path_factory: pytest.TempPathFactory) -> None:
    path = tmp_path_factory.mktemp("settings") / "local.toml"
    path.write_text(SETTINGS)
    assert load_settings(path).tolerance == Tolerance()
    path.write_text(SETTINGS + "[tolerate]\nzones = 1\nmachines = 80\n")
    assert load_settings(path).tolerance == Tolerance(1, 0, 80)
    for value in ("-1", "1.5", '"many"'):
        path.write_text(SETTINGS + f"[tolerate]\nzones = {value}\n")
        with pytest.raises(PlatformSettingsError):
            load_settings(path)


def test_feature_state_is_reported_once_per_change() -> None:
    holder = ConfigurationHolder()
    features = Features(holder, is_memory_scarce=True)
    reported: list[FeatureState] = []
    features.on_change = reported.append
    features.notify_changes()
    features.notify_changes()
    assert [state.feature for state in reported] == list(Feature)
    assert [state.feature for state in reported if state.is_on] == [Feature.NODE_CAPACITY]
    reported.clear()
    services = {"s": Service("s", 8, 0, memory_tokens=72000)}
    holder.update_if_newer(Configuration(1, (), services, ClientLimits(), tenants=()))
    features.notify_changes()
    assert {state.feature for state in reported if state.is_on} == {
        Feature.FAIR_SHARES,
        Feature.REPLICA_MEMORY,
        Feature.OVERLOAD_ORDER,
    }


def test_feature_is_on_as_soon_as_its_condition_holds() -> None:
    holder = ConfigurationHolder()
    features = Features(holder)
    assert not features.is_on(Feature.OVERLOAD_ORDER)
    features.record_reported_slowdown("s")
    assert features.is_on(Feature.OVERLOAD_ORDER) and not features.is_on(Feature.FAIR_SHARES)
    holder.update_if_newer(Configuration(1, (), {}, ClientLimits(), tenants=()))
    assert features.is_on(Feature.FAIR_SHARES)


def test_default_deployment_has_no_features_on() -> None:
    holder = ConfigurationHolder()
    services = {"s": Service("s", 8, 0, memory_tokens=72000)}
    holder.update_if_newer(Configuration(1, (), services, ClientLimits()))
    assert not any(state.is_on for state in Features(holder).states())


def test_configuration_apply_time_is_read_from_settings(
    tmp_path_factory: pytest.TempPathFactory,
) -> None:
    path = tmp_path_factory.mktemp("settings") / "local.toml"
    path.write_text(SETTINGS)
    assert load_settings(path).configuration_apply_s == DEFAULT_CONFIGURATION_APPLY_S
    path.write_text(SETTINGS + "[bounds]\nconfig_apply_ms = 3500\n")
    assert load_settings(path).configuration_apply_s == 3.5
    path.write_text(SETTINGS + "[bounds]\nconfig_apply_ms = 0\n")
    with pytest.raises(PlatformSettingsError, match="bounds.config_apply_ms"):
        load_settings(path)
