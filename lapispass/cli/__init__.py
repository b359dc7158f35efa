"""The command line `lapispass VERB`. Each verb imports its part only when it is called."""
