"""The fault shim interposes every system call that a process imports, or documents why it does not."""

from __future__ import annotations

import ctypes
import errno
import re
import struct
import subprocess
from collections.abc import Iterator
from functools import cache
from pathlib import Path

from faulty_process import SHIM, Call, Controller, Faults, controller, free_address, process, shim
from parties import play
from test_accept_faults import FILE, XDS_FILE

ELF_MAGIC = b"\x7fELF\x02\x01"  # 64 bits, little-endian
SECTION_HEADERS_AT, SECTION_COUNT_AT = 0x28, 0x3C
SECTION = struct.Struct("<IIQQQQIIQQ")
SYMBOL = struct.Struct("<IBBHQQ")
DYNAMIC_SYMBOLS = 11  # the type of the section
C_LIBRARY = re.compile(r"/(libc|libm|libdl|libpthread|librt|ld-linux\S*)\.so")
EXCLUDED = re.compile(r"^ \* - ([a-z0-9_,\s*]+):\s", re.MULTILINE)


def imported_symbols(library: Path) -> Iterator[str]:
    """The functions and variables that a shared object imports from others, by its dynamic symbols."""
    image = library.read_bytes()
    assert image.startswith(ELF_MAGIC), library
    (table_at,) = struct.unpack_from("<Q", image, SECTION_HEADERS_AT)
    (count,) = struct.unpack_from("<H", image, SECTION_COUNT_AT)
    sections = [SECTION.unpack_from(image, table_at + n * SECTION.size) for n in range(count)]
    for _, kind, _, _, at, size, names, *_ in sections:
        if kind != DYNAMIC_SYMBOLS:
            continue
        names_at = sections[names][4]
        for name, _, _, section, _, _ in SYMBOL.iter_unpack(image[at : at + size]):
            if name and not section:
                yield image[names_at + name : image.index(b"\0", names_at + name)].decode()


@cache
def system_calls() -> frozenset[str]:
    """All system calls of this machine by the C headers, with their variants for large offsets."""
    text = subprocess.run(
        ["cc", "-E", "-dM", "-include", "sys/syscall.h", "-x", "c", "/dev/null"],
        check=True,
        capture_output=True,
        text=True,
    ).stdout
    names = set(re.findall(r"#define __NR_(\w+)", text))
    return frozenset(names | {name + "64" for name in names} | {"recv", "send", "epoll_create1", "wait"})


def interposed_calls() -> frozenset[str]:
    """The calls that the shim lists as interposed."""
    names = (ctypes.c_char_p * 256).in_dll(ctypes.CDLL(str(shim())), "covered_calls")
    listed = []
    for name in names:
        if name is None:
            return frozenset(listed)
        listed.append(name.decode())
    raise AssertionError("covered_calls is not terminated by a null pointer within 256 names")


def excluded_calls() -> frozenset[str]:
    """The calls that the shim does not interpose, for a reason given in its head comment."""
    comment = SHIM.read_text().partition("*/")[0]
    return frozenset(name for names in EXCLUDED.findall(comment) for name in re.findall(r"\w+", names))


def imported_calls(running: Controller) -> set[str]:
    """The system calls that are imported by the shared objects that a process has loaded."""
    maps = Path(f"/proc/{running.process.pid}/maps").read_text().split()
    libraries = {word for word in maps if ".so" in word and not C_LIBRARY.search(word)}
    assert any("_socket" in library for library in libraries) and str(shim()) in libraries
    imported = {name for library in libraries - {str(shim())} for name in imported_symbols(Path(library))}
    return imported & system_calls()


def test_the_two_lists_of_calls_are_the_same() -> None:
    (names,) = re.findall(r"enum call \{(.*?)\}", SHIM.read_text(), re.DOTALL)
    assert re.findall(r"\w+", names) == [call.name for call in Call] + ["CALLS"]


def test_each_call_that_is_listed_is_interposed() -> None:
    defined = subprocess.run(["cc", "-E", "-P", str(SHIM)], check=True, capture_output=True, text=True).stdout
    assert {
        name for name in interposed_calls() if not re.search(rf"\b{name}\([^;{{}}]*\) \{{", defined)
    } == set()
    library = ctypes.CDLL(str(shim()))
    assert {name for name in interposed_calls() if not hasattr(library, name)} == set()
    assert not interposed_calls() & excluded_calls()


def test_each_system_call_that_a_process_imports_can_be_made_to_fail_or_has_a_reason(tmp_path: Path) -> None:
    # Guards against a shim that does not interpose epoll_ctl and close: connections that were never
    # registered for events then went unnoticed.
    async def test() -> None:
        imported = {}
        async with controller(tmp_path) as running:
            imported["controller"] = imported_calls(running)
        faults, file = Faults(tmp_path / "faults"), tmp_path / "operator.textproto"
        for verb, form in (("gate", FILE), ("run", XDS_FILE)):
            address = free_address()
            file.write_text(form.format(listen="{}:{}".format(*address)))
            async with process((verb, "-o", str(file)), faults, address, "listening", {}) as running:
                imported[verb] = imported_calls(running)
        assert {"accept4", "epoll_ctl", "close"} <= imported["controller"]
        missing = {
            who: sorted(calls - interposed_calls() - excluded_calls()) for who, calls in imported.items()
        }
        assert not any(missing.values()), missing

    play(test())


def test_a_socket_whose_close_fails_is_closed_all_the_same(tmp_path: Path) -> None:
    async def test() -> None:
        async with controller(tmp_path) as running:
            for error in (errno.EINTR, errno.EIO):
                running.faults.set(Call.CLOSE, error)
                before = running.faults.injected(Call.CLOSE)
                reader, writer = await running.connect()
                writer.write(b"odd\r\n")
                assert await reader.read() == b"NACK why=unreadable\r\n"  # and then the end of the stream
                writer.close()
                assert running.faults.injected(Call.CLOSE) > before
            running.faults.clear(Call.CLOSE)

    play(test())
