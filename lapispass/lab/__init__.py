"""Measurements and long test runs that are installed with the daemon."""
