"""Units of time in the decision code: whole microseconds."""

SECOND_US = 1_000_000
NEVER = 1 << 62  # later than any time that a controller sees
