"""Persistent state that survives crashes: the owner of each slice."""
