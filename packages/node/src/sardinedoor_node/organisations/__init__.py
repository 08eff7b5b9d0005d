"""Organisations on whose behalf requests are made: their keys and quotas."""
