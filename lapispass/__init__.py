"""A table manager that assigns servers to proxies, with exactly one owner for each slice."""
