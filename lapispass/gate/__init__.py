"""The gate, a router that holds WebSocket connections: its codec and I/O.

Its decisions are made in `lapispass/core/steering.py`.
"""
