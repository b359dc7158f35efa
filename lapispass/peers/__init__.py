"""Several controllers that share the nodes through a coordination service: its client, and their host."""
