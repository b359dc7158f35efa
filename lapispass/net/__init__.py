"""The front on sockets: collectors, the relay, the registry and probes round the decisions."""
