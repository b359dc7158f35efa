"""Network I/O of a controller: collectors, relay, registry and probes, connected to the decision logic."""
