"""Metrics and status for operators."""
