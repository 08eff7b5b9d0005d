"""The node: a proxy that runs beside the workers of one instance."""
