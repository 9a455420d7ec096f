"""The serving node: its components, its process lifecycle and the dispatch of requests."""
