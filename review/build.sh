#!/bin/sh
# After the build of the deploy file: compiles the stand-ins that the cases start, the project's own too.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -m compileall -q lapispass/standins lapispass/core review
