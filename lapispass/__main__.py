"""The controller on sockets: `python -m lapispass`."""

import asyncio
import os
import sys

from lapispass.net import log
from lapispass.net.launch import BadStart, Launch
from lapispass.net.service import serve


def main() -> int:
    log.start()
    try:
        asyncio.run(serve(Launch.read(os.environ)))
    except BadStart as error:
        print(f"lapispass: {error}", file=sys.stderr)
        return 2
    except Exception:
        log.Part("main").failed("ended by a fault")
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
