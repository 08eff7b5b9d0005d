"""Client of the platform's configuration service, and election of readers."""
