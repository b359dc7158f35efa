"""Stores the assignments of slices for a controller without a relay, in one SQLite file.

Besides its owner, a slice's row says whether its writes are blocked: then an earlier owner may still hold
writes, which a controller that starts again has to know.

A turn is written before it is published, as one transaction with synchronous FULL in WAL mode. After a kill
at any point, or a loss of power, the file opens with all of the last committed turn. Every row has its
own fingerprint, which covers its key: a corrupt file is rejected as a whole with a message of one line, and
never used in part.
"""

from __future__ import annotations

from collections.abc import Mapping
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

import apsw
import xxhash

SCHEMA_VERSION = 2
OWNERS_ONLY_VERSION = 1  # of files without `blocked`


class CorruptStore(Exception):
    """The file is corrupt or does not fit the settings; the message says why in one line."""


class StoreUnavailable(Exception):
    """The disk fails for the moment: the transaction was not written, and may be tried again."""


# Errors that may pass: a full disk, an I/O error, a lack of memory. Others do not: a corrupt file stays
# corrupt, and a locked file belongs to another controller.
TRANSIENT_ERRORS = (
    apsw.CantOpenError,
    apsw.FullError,
    apsw.IOError,
    apsw.InterruptError,
    apsw.NoMemError,
    apsw.ReadOnlyError,
)


def fingerprint(*words: object) -> int:
    """A hash of a row's values, of 63 bits because SQLite stores signed integers."""
    return xxhash.xxh3_64_intdigest("\0".join(str(word) for word in words).encode()) >> 1


class Assignment(NamedTuple):
    """What is stored of a slice; without an owner its table is empty."""

    owner: str | None
    writes_blocked: bool = False


NEVER_ASSIGNED = Assignment(None)


class Assignments:
    """The file, which only this process may open.

    Opening it raises `CorruptStore`, or `StoreUnavailable` if the disk fails for the moment.
    """

    def __init__(self, path: str | Path, slices: int) -> None:
        self.path, self.slices = str(path), slices
        self.stored: dict[int, Assignment] = {}  # as it stands in the file
        try:
            self.file = apsw.Connection(self.path)
        except apsw.Error as error:
            kind = StoreUnavailable if isinstance(error, TRANSIENT_ERRORS) else CorruptStore
            raise kind(f"{self.path}: {type(error).__name__}: {error}") from None
        try:
            self.file.set_busy_timeout(1000)
            # With an exclusive lock a second controller on the same file is rejected.
            for pragma in (
                "PRAGMA locking_mode=EXCLUSIVE",
                "PRAGMA journal_mode=WAL",
                "PRAGMA synchronous=FULL",
            ):
                self.file.execute(pragma).fetchall()
            self.file.execute("BEGIN IMMEDIATE; COMMIT")
            self._create_or_verify()
        except TRANSIENT_ERRORS as error:
            self.close()
            raise StoreUnavailable(f"{self.path}: {type(error).__name__}: {error}") from None
        except apsw.Error as error:
            raise CorruptStore(f"{self.path}: {type(error).__name__}: {error}") from None
        self.turn = self._read_turn()

    def _create_or_verify(self) -> None:
        """Creates the tables of a new file, or verifies all of an existing one."""
        version = self.file.pragma("user_version")
        tables = self.file.execute("SELECT count(*) FROM sqlite_master").fetchall()[0][0]
        if version == 0 and tables == 0:
            with self.file:
                self.file.execute(
                    "CREATE TABLE line (slice INTEGER PRIMARY KEY, owner TEXT, turn INTEGER NOT NULL,"
                    " sum INTEGER NOT NULL, blocked INTEGER NOT NULL) STRICT;"
                    "CREATE TABLE fact (name TEXT PRIMARY KEY, value INTEGER NOT NULL,"
                    " sum INTEGER NOT NULL) STRICT;"
                    f"PRAGMA user_version={SCHEMA_VERSION}"
                )
                self._write_fact("turn", 0)
                self._write_fact("slices", self.slices)
            return
        if version not in (SCHEMA_VERSION, OWNERS_ONLY_VERSION):
            raise CorruptStore(f"{self.path}: schema version is {version}, expected {SCHEMA_VERSION}")
        check_result = self.file.execute("PRAGMA quick_check(1)").fetchall()[0][0]
        if check_result != "ok":
            raise CorruptStore(f"{self.path}: {check_result}")
        facts = {}
        for name, value, stored_sum in self.file.execute("SELECT name, value, sum FROM fact"):
            if stored_sum != fingerprint(name, value):
                raise CorruptStore(f"{self.path}: fact {name!r} does not match its fingerprint")
            facts[name] = value
        if facts.keys() != {"turn", "slices"}:
            raise CorruptStore(f"{self.path}: expected exactly the facts 'turn' and 'slices'")
        if facts["slices"] != self.slices:
            raise CorruptStore(
                f"{self.path}: holds {facts['slices']} slices, the operator file says {self.slices}"
            )
        self._read_assignments(has_blocked=version == SCHEMA_VERSION, last_turn=facts["turn"])
        if version == OWNERS_ONLY_VERSION:
            self._upgrade()

    def _read_assignments(self, has_blocked: bool, last_turn: int) -> None:
        """Reads and verifies all rows.

        Rows without `blocked` count as blocked, since their former owners may hold writes.
        """
        columns = "slice, owner, turn, sum, " + ("blocked" if has_blocked else "owner IS NOT NULL")
        for number, owner, turn, stored_sum, blocked in self.file.execute(f"SELECT {columns} FROM line"):
            words = (number, owner, turn, blocked) if has_blocked else (number, owner, turn)
            if stored_sum != fingerprint(*words) or not 0 <= number < self.slices or turn > last_turn:
                raise CorruptStore(f"{self.path}: the row of slice {number} is corrupt")
            self.stored[number] = Assignment(owner, bool(blocked))

    def _upgrade(self) -> None:
        """Adds `blocked` to a file that has owners only, in one transaction."""
        with self.file:
            self.file.execute("ALTER TABLE line ADD COLUMN blocked INTEGER NOT NULL DEFAULT 0")
            self._write_rows(self.stored, self._read_turn())
            self.file.execute(f"PRAGMA user_version={SCHEMA_VERSION}")

    def _write_fact(self, name: str, value: int) -> None:
        self.file.execute(
            "INSERT OR REPLACE INTO fact VALUES (?, ?, ?)", (name, value, fingerprint(name, value))
        )

    def _read_turn(self) -> int:
        return int(str(self.file.execute("SELECT value FROM fact WHERE name = 'turn'").fetchall()[0][0]))

    def assignment(self, number: int) -> Assignment:
        """What is stored of a slice."""
        return self.stored.get(number, NEVER_ASSIGNED)

    def owners(self) -> dict[int, str | None]:
        """The current owner of each slice that has ever had one; None while its table is empty."""
        return {number: assignment.owner for number, assignment in self.stored.items()}

    def commit(self, assignments: Mapping[int, Assignment]) -> bool:
        """Writes the assignments that a turn sets, in one transaction; they are on the disk on return.

        False if the turn changes none. Raises `StoreUnavailable` if the disk fails for the moment.
        """
        changed = {
            number: assignment
            for number, assignment in assignments.items()
            if assignment != self.assignment(number)
        }
        if not changed:
            return False
        turn = self.turn + 1
        try:
            with self.file:
                self._write_rows(changed, turn)
                self._write_fact("turn", turn)
        except TRANSIENT_ERRORS as error:
            self._roll_back()
            raise StoreUnavailable(f"{self.path}: {type(error).__name__}: {error}") from None
        self.turn = turn
        self.stored.update(changed)
        return True

    def _write_rows(self, assignments: Mapping[int, Assignment], turn: int) -> None:
        for number, (owner, writes_blocked) in assignments.items():
            blocked = int(writes_blocked)
            self.file.execute(
                "INSERT OR REPLACE INTO line (slice, owner, turn, blocked, sum) VALUES (?, ?, ?, ?, ?)",
                (number, owner, turn, blocked, fingerprint(number, owner, turn, blocked)),
            )

    def _roll_back(self) -> None:
        """Rolls back a transaction that an error has left open."""
        with suppress(apsw.Error):
            if self.file.in_transaction:
                self.file.execute("ROLLBACK")

    def snapshot(self, path: str | Path) -> None:
        """Writes a consistent copy of the file while it is in use."""
        target = apsw.Connection(str(path))
        with target.backup("main", self.file, "main") as backup:
            backup.step()
        target.close()

    def compact(self) -> None:
        """Moves the write-ahead log into the file and truncates it, so that it does not grow.

        Raises `StoreUnavailable` if that fails for the moment; nothing is lost by it.
        """
        try:
            self.file.wal_checkpoint(mode=apsw.SQLITE_CHECKPOINT_TRUNCATE)
        except TRANSIENT_ERRORS as error:
            raise StoreUnavailable(f"{self.path}: {type(error).__name__}: {error}") from None

    def close(self) -> None:
        """Closes the file. Errors are ignored, as all committed turns are already on the disk."""
        with suppress(apsw.Error):
            self.file.close()
