"""Admission of requests by what they will call at other services."""
