"""The part of a node through which all work reaches its own workers."""
