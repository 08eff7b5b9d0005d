"""Measures outlier and path detection with simulated outcomes."""
