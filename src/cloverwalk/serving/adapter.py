"""The interface that an adapter to a platform implements."""

from typing import Protocol

from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.messages import GatewayCodec, RawHeaders
from cloverwalk.gateway.replicas import Replica
from cloverwalk.gateway.steps import Steps
from cloverwalk.jobs.reader import ResultPage
from cloverwalk.jobs.records import JobItem
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.store.types import Store


class Adapter(Protocol):
    """Translates between the product and one platform; it makes no decisions."""

    codec: GatewayCodec
    configuration_table: str
    configuration_key: str
    replica_table: str

    def load_settings(self) -> ServingSettings:
        """Return the current settings; raise SettingsError if they are invalid."""
        ...

    def create_store(self, settings: ServingSettings) -> Store:
        """Return a client of the store."""
        ...

    def decode_configuration(self, raw: bytes) -> Steps[Configuration]:
        """Decode a stored configuration in steps; raise ValueError if it is invalid."""
        ...

    def decode_replica(self, replica_id: str, raw: bytes, version: int) -> Replica:
        """Return a stored replica entry; raise ValueError if it is invalid."""
        ...

    def drained_zone(self, key: str) -> str | None:
        """Return the zone that a row of the configuration table drains, None for other rows.

        The row drains the zone as long as it exists, whatever its value.
        """
        ...

    def is_readiness_probe(self, target: str) -> bool:
        """Whether a request to the readiness address is a readiness probe."""
        ...

    def decode_job_items(self, body: bytes) -> list[JobItem]:
        """Return the items of a job submission; raise ValueError if its body is invalid."""
        ...

    def encode_result_page(self, page: ResultPage) -> bytes:
        """Return the response body for a page of results."""
        ...

    @property
    def json_headers(self) -> RawHeaders:
        """Headers of a response with a JSON body."""
        ...
