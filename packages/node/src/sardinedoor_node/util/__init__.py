"""Helpers shared by all parts of the daemon."""
