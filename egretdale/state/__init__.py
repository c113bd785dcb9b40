"""State layer: data structures without I/O.

Documents, messages, queues, estimates, metrics and tables of hosts and
backend servers.
"""
