"""A soak of the serving node's program: real processes, faults from a seed, checked promises."""
