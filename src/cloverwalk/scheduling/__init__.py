"""Who gets which slot of which replica: counted and decided at one node, the coordinator."""
