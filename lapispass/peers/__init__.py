"""Several controllers sharing nodes through a coordination service: its client, and the controllers' host."""
