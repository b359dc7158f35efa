"""`python -m lapispass` runs the platform's controller; with arguments, the command line interface."""

import sys

from lapispass.net import signals

if __name__ == "__main__":
    if len(sys.argv) > 1:
        from lapispass.cli.main import main as verbs

        verbs()
    signals.ignore_all()  # before the other imports, which take most of the start-up time
    from lapispass.net.service import main

    status = main()
    signals.block_all()  # until the interpreter has exited
    sys.exit(status)
