"""Identity of a node's process."""

import attrs

from cloverwalk.fleet.messages import Contact


@attrs.frozen
class Identity:
    """Name, address and size of this node, and the run of its process."""

    node: str
    run: str
    """Identifies the process; each start has another one."""

    host: str
    zone: str
    cores: float = 1.0
    """Number of processor cores of the machine."""

    @property
    def incarnation(self) -> str:
        """The name under which the process owns jobs."""
        return f"{self.node}.{self.run}"

    @property
    def contact(self) -> Contact:
        """The node's name and address."""
        return Contact(self.node, self.host)
