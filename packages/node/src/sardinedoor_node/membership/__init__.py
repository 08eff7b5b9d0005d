"""Who exists, who is alive, and which workers they own."""
