"""The gate, a router that holds WebSocket connections. This package has the codec and the I/O; the decisions
are made in `lapispass/core/steering.py`."""
