"""Messages, settings and result codes shared by all packages."""
