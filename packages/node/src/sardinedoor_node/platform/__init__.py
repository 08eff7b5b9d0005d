"""Reading of the platform's configuration service."""
