"""Protocol layer: typed messages on the wire."""
