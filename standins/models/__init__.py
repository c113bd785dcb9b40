"""Behaviour of outside systems, shared by programs and in-memory fakes."""
