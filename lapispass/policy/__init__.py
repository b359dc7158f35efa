"""All decisions: pure, events in, orders out. The settings of `deploy/balancer.toml` name each module."""
