"""The operator client."""
