"""What the cases from number 6 on share: the start of the project's programs, and stand-ins of nodes."""
