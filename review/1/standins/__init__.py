"""Stand-ins for the clients, workers and platform of a small deployment."""
