"""`python -m lapispass`: alone the platform's controller, with a verb the command line."""

import sys

from lapispass.net import signals

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from lapispass.cli.main import main as verbs

        verbs()
    signals.ignore_all()  # before the rest is loaded, which takes most of the start
    from lapispass.net.service import main

    status = main()
    signals.block_all()  # until the interpreter is gone
    sys.exit(status)
