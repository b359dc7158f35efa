"""Pure decision logic outside `lapispass/policy`, tested as closely; time and randomness are passed in."""
