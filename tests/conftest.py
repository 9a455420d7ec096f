"""Settings of the test run: Hypothesis gives the same cases in every run."""

from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
