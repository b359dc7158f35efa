"""The controller on sockets: `python -m lapispass`."""

import sys

from lapispass.net import signals

if __name__ == "__main__":
    signals.ignore()  # before the rest is loaded, which takes most of the start
    from lapispass.net.service import main

    sys.exit(main())
