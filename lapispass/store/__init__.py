"""State that survives crashes: the owner of each slice."""
