"""Limits on work: slots, queues, shares of organisations and retries."""
