"""Measures detectors and picker by feeding them outcomes."""
