"""Stand-ins for external systems, load generators and measurement tools."""
