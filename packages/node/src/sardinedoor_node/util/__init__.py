"""Utilities shared by all packages of the daemon."""
