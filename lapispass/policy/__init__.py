"""All policies, pure: events in, orders out. The settings in `deploy/balancer.toml` name each module."""
