"""The ingress role of a node: forwards callers' requests to owners."""
