"""Checkers of the rules, fed with what stand-ins observed, never with the program's own state."""
