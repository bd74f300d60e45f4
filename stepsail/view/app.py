"""Implements the terminal application with Textual.

The arrow keys step by one entry, the page keys by a hundred, and the keys n and p to the next and previous
decision.
"""

from __future__ import annotations

from typing import Any, ClassVar

from textual.app import App, ComposeResult
from textual.binding import Binding
from textual.containers import Vertical
from textual.widgets import DataTable, Footer, Static

from stepsail.view.track import CaptureCursor

TIMELINE_LINES = 11
DETAIL_LINES = 6
BAR_WIDTH = 60  # characters
MIN_TIMELINE_WIDTH = 40  # characters; on a narrower screen, lines are cropped at its edge


class CaptureApp(App[None]):
    """Shows consecutive segments of a capture; the layout needs at least 80 columns and 24 lines."""

    TITLE = "stepsail capture"
    CSS = """
    #where { height: 2; }
    #lines { height: 11; border-bottom: solid gray; }
    #detail { height: auto; max-height: 6; border-bottom: solid gray; }
    #evidence { height: auto; max-height: 6; border-bottom: solid gray; }
    #servers { height: 1fr; }
    """
    BINDINGS: ClassVar[list[Any]] = [
        Binding("right", "move(1)", "next"),
        Binding("left", "move(-1)", "back"),
        Binding("pagedown", "move(100)", "+100"),
        Binding("pageup", "move(-100)", "-100"),
        Binding("n", "decision(True)", "next decision"),
        Binding("p", "decision(False)", "previous decision"),
        Binding("home", "boundary(True)", "start", show=False),
        Binding("end", "boundary(False)", "end", show=False),
        Binding("q", "quit", "quit"),
    ]

    def __init__(self, cursor: CaptureCursor, name: str) -> None:
        super().__init__()
        self.cursor = cursor
        self.capture_name = name

    def compose(self) -> ComposeResult:
        """Create the widgets: position, timeline, next entry, evidence and servers."""
        with Vertical():
            yield Static(id="where", markup=False)
            yield Static(id="lines", markup=False)
            yield Static(id="detail", markup=False)
            yield Static(id="evidence", markup=False)
            yield DataTable(id="servers", cursor_type="none")
        yield Footer()

    def on_mount(self) -> None:
        """Show the first entry."""
        self.refresh_all()

    def action_move(self, offset: int) -> None:
        """Move by a number of entries, backward if it is negative."""
        self.cursor.seek(min(len(self.cursor.entries) - 1, self.cursor.position + offset))
        self.refresh_all()

    def action_decision(self, forward: bool) -> None:
        """Go to the next or the previous decision."""
        self.cursor.seek(self.cursor.next_decision(forward))
        self.refresh_all()

    def action_boundary(self, first: bool) -> None:
        """Go to the first or the last entry."""
        self.cursor.seek(0 if first else len(self.cursor.entries) - 1)
        self.refresh_all()

    def refresh_all(self) -> None:
        """Update all widgets to the position of the cursor."""
        self.query_one("#where", Static).update(self._position())
        self.query_one("#lines", Static).update("\n".join(self._timeline()))
        self.query_one("#detail", Static).update("\n".join(self.cursor.detail()[:DETAIL_LINES]))
        self.query_one("#evidence", Static).update("\n".join(self.cursor.evidence()))
        table: DataTable[str] = self.query_one("#servers", DataTable)
        table.clear(columns=True)
        rows = self.cursor.server_table()
        if rows:
            table.add_columns(*rows[0])
            for row in rows[1:]:
                table.add_row(*row)

    def _position(self) -> str:
        """Return the number and time of the next entry, and a progress bar."""
        cursor = self.cursor
        total = len(cursor.entries)
        filled = round(BAR_WIDTH * cursor.position / max(1, total - 1))
        seconds = cursor.clock() - cursor.entries[0].clock
        return (
            f"{self.capture_name}: entry {cursor.first_number + cursor.position} of "
            f"{cursor.first_number} to {cursor.first_number + total - 1}, "
            f"{seconds:.3f} s\n[{'=' * filled}{' ' * (BAR_WIDTH - filled)}]"
        )

    def _timeline(self) -> list[str]:
        """Return the entries around the next one, one per line, truncated to the width of the screen."""
        cursor = self.cursor
        total = len(cursor.entries)
        first_shown = max(0, min(cursor.position - TIMELINE_LINES // 2, total - TIMELINE_LINES))
        width = max(MIN_TIMELINE_WIDTH, self.size.width - 2)
        lines = []
        for position in range(first_shown, min(total, first_shown + TIMELINE_LINES - 1)):
            text = cursor.summary_line(position)
            shown = text if len(text) <= width else text[: width - 1] + "…"
            lines.append((">" if position == cursor.position else " ") + shown)
        return lines
