"""Settings of the node itself and of the teams' services and routes."""
