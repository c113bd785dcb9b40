"""Models of external systems, shared by stand-in programs and test fakes."""
