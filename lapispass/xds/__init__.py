"""The server for xDS clients: gRPC streams and message types; its decisions are in `lapispass/core/`."""
