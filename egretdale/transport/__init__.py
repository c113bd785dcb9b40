"""Transport layer: HTTP and thrift connections."""
