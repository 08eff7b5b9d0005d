"""Fakes of the platform and the targets, and test tools that use them."""
