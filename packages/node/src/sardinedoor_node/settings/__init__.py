"""Settings of the node and of the teams."""
