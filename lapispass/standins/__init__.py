"""Stand-ins for external systems, written from public specifications; shared by tests, drills and the lab."""
