"""The command line `lapispass VERB`; each verb imports its implementation only when it is called."""
