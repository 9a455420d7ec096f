"""The command line interface, ``cloverwalk``."""
