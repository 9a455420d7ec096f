"""State machines of a node's roles: leases, gossip, table, replica owner, job owner.

They do no I/O. Each gets a :class:`~cloverwalk.control.context.Context`, through which it
sends instructions, and is fed events by :class:`cloverwalk.node.node.Node`.
"""
