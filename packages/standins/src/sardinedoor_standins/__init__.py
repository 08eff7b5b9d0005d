"""Stand-ins for the platform and the targets, and tools that use them."""
