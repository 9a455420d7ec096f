"""Coordination of the nodes of a fleet, and the state they share about each other and replicas."""
