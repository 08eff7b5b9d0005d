"""The part of a node that takes callers' requests to targets."""
