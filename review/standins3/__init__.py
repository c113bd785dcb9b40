# flake8: noqa
"""Stand-ins of the third review: platform store, engines and a small system."""
