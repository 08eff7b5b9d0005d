"""Messages, settings classes and result codes shared by all packages."""
