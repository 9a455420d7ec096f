"""What names a node's process."""

import attrs

from cloverwalk.fleet.messages import Contact


@attrs.frozen
class Identity:
    """This node's process."""

    node: str
    run: str
    """Differs from start to start."""

    host: str
    zone: str
    cores: float = 1.0
    """Processor that the machine has, in cores."""

    @property
    def incarnation(self) -> str:
        """The name under which the process owns jobs."""
        return f"{self.node}.{self.run}"

    @property
    def contact(self) -> Contact:
        """Where the node is reached."""
        return Contact(self.node, self.host)
