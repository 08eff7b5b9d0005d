"""The daemon that runs beside the workers of one instance."""
