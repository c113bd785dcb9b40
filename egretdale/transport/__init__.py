"""Transport layer: HTTP and thrift servers and clients."""
