"""Stand-ins for outside systems, with load and experiment tools."""
