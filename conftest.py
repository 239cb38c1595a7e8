"""Settings for every test: Hypothesis gives the same verdict each time."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")
