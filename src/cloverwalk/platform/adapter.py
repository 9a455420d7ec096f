"""The adapter to the platform, as one object."""

from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.messages import GatewayCodec, RawHeaders
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.steps import Steps
from cloverwalk.jobs.reader import ResultPage
from cloverwalk.jobs.records import JobItem
from cloverwalk.platform import documents, names
from cloverwalk.platform.codec import PlatformCodec
from cloverwalk.platform.settings import load_settings
from cloverwalk.platform.store_client import PlatformStore
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.store.types import Store


class PlatformAdapter:
    """Translates between the product and the users' platform."""

    configuration_table = names.OPERATOR_TABLE
    configuration_key = names.CONFIGURATION_KEY
    replica_table = names.REPLICA_TABLE

    def __init__(self) -> None:
        self.codec: GatewayCodec = PlatformCodec()

    def load_settings(self) -> ServingSettings:
        """Return the current settings."""
        return load_settings()

    def create_store(self, settings: ServingSettings) -> Store:
        """Return a client of the store."""
        return PlatformStore(settings.store_address)

    def decode_configuration(self, raw: bytes) -> Steps[Configuration]:
        """Decode a stored configuration in steps."""
        return documents.configuration_steps(raw)

    def decode_replica(self, replica_id: str, raw: bytes, version: int) -> Replica:
        """Return a stored replica entry."""
        return documents.decode_replica(replica_id, raw, version)

    def drained_zone(self, key: str) -> str | None:
        """Return the zone that a row of the configuration table drains, None for other rows."""
        prefix = names.ZONE_DRAIN_KEY_PREFIX
        return key.removeprefix(prefix) if key.startswith(prefix) else None

    def is_readiness_probe(self, target: str) -> bool:
        """Whether a request to the readiness address is a readiness probe."""
        return target.partition("?")[0] == names.READY_PATH

    def decode_job_items(self, body: bytes) -> list[JobItem]:
        """Return the items of a job submission."""
        return documents.decode_job(body)

    def encode_result_page(self, page: ResultPage) -> bytes:
        """Return the response body for a page of results."""
        return documents.encode_results(page)

    @property
    def json_headers(self) -> RawHeaders:
        """Headers of a response with a JSON body."""
        return [(b"Content-Type", b"application/json")]
