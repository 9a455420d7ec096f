"""The port between the product and an outside platform: everything that translates."""

from typing import Protocol

from cloverwalk.gateway.configuration import Configuration
from cloverwalk.gateway.messages import GatewayCodec, RawHeaders
from cloverwalk.gateway.replicas import Replica
from cloverwalk.jobs.reader import ResultPage
from cloverwalk.jobs.records import JobItem
from cloverwalk.serving.settings import ServingSettings
from cloverwalk.store.types import Store


class Adapter(Protocol):
    """One platform. It translates and decides nothing."""

    codec: GatewayCodec
    configuration_table: str
    configuration_key: str
    replica_table: str

    def load_settings(self) -> ServingSettings:
        """Return the settings in force; raise SettingsError."""
        ...

    def create_store(self, settings: ServingSettings) -> Store:
        """Return the store."""
        ...

    def decode_configuration(self, raw: bytes) -> Configuration:
        """Return a stored configuration; raise ValueError when it is none."""
        ...

    def decode_replica(self, replica_id: str, raw: bytes, version: int) -> Replica:
        """Return a stored replica entry; raise ValueError when it is none."""
        ...

    def is_readiness_probe(self, target: str) -> bool:
        """Whether a request at the ready address asks for readiness."""
        ...

    def decode_job_items(self, body: bytes) -> list[JobItem]:
        """Return the items of a job's body; raise ValueError when it is not valid."""
        ...

    def encode_result_page(self, page: ResultPage) -> bytes:
        """Return the body of an answer with results."""
        ...

    @property
    def json_headers(self) -> RawHeaders:
        """Headers of an answer with such a body."""
        ...
