"""State layer: documents, queues, estimates and views."""
