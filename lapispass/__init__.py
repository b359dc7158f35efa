"""lapispass: a table manager that assigns servers to proxies, one owner a slice."""
