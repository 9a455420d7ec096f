"""Online requests: from a client's connection to a replica and back."""
