"""What the nodes of a fleet know of each other and of the replicas they share."""
