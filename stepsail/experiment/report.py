"""Renders an experiment as a self-contained HTML page with tables, an embedded chart and its provenance."""

from __future__ import annotations

import base64
import html
import io
from math import nan
from typing import TYPE_CHECKING

import polars

from stepsail.experiment.compare import paired_differences

if TYPE_CHECKING:
    from matplotlib.figure import Figure

STYLE = (
    "body{font:15px sans-serif;max-width:70em;margin:2em auto}table{border-collapse:collapse}"
    "td,th{border:1px solid #ccc;padding:2px 8px;text-align:right}td:first-child{text-align:left}"
)
CURRENT_MODULE = "stepsail"
CHART_DPI = 90
CHART_WIDTH = 9  # inches
CHART_HEIGHT_PER_DAY = 0.28  # inches
CHART_MIN_DAYS = 6

HEADINGS = [
    "day",
    "module",
    "instances",
    "runs",
    "service",
    "ideal",
    "worst service",
    "violations",
    "correct releases",
    "peak load in slow start",
    "p99, s",
]
DIFFERENCE_HEADINGS = ["day", "pairs", "mean", "95% interval", "pairs needed for 0.01"]


def _image_html(figure: Figure) -> str:
    """Return an HTML image element with the figure embedded as a data URL."""
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=CHART_DPI, bbox_inches="tight")
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(buffer.getvalue()).decode()}">'


def _table_html(headings: list[str], rows: list[list[str]]) -> str:
    row_elements = [_row_html(headings, "th"), *(_row_html(row, "td") for row in rows)]
    return "<table>" + "".join(row_elements) + "</table>"


def _row_html(cells: list[str], tag: str) -> str:
    return "<tr>" + "".join(f"<{tag}>{html.escape(cell)}</{tag}>" for cell in cells) + "</tr>"


def summarize_by_day(rows: polars.DataFrame) -> polars.DataFrame:
    """Aggregate the successful runs by day, router and number of instances, lowest mean service first."""
    return (
        rows.filter(polars.col("failed") == "")
        .group_by("day", "module", "umpires")
        .agg(
            polars.len().alias("runs"),
            polars.col("service").mean().alias("service"),
            polars.col("ideal").mean(),
            polars.col("service").min().alias("worst"),
            polars.col("service").std().alias("sd"),
            polars.col("breaches").sum(),
            polars.col("right").sum(),
            polars.col("releases").sum(),
            polars.col("cold_peak").max(),
            polars.col("p99").median(),
        )
        .sort("service", "day", "module")
    )


def day_cells(days: polars.DataFrame) -> list[list[str]]:
    """Return the table rows for the result of `summarize_by_day`, with columns as in HEADINGS."""
    return [
        [
            row["day"],
            row["module"],
            str(row["umpires"]),
            str(row["runs"]),
            f"{row['service']:.3f}",
            f"{row['ideal']:.3f}",
            f"{row['worst']:.3f}",
            str(row["breaches"]),
            f"{row['right']} of {row['releases']}",
            f"{row['cold_peak']:.2f}",
            f"{row['p99']:.2f}",
        ]
        for row in days.iter_rows(named=True)
    ]


def html_page(rows: polars.DataFrame, title: str) -> str:
    """Return the HTML of the page.

    Args:
        rows: all runs of an experiment.
        title: the title of the page.
    """
    days = summarize_by_day(rows)
    modules = sorted(set(days["module"].to_list()))
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{html.escape(title)}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(title)}</h1>",
        "<p>Simulated servers, in virtual time.</p>",
        _provenance_html(rows),
        _table_html(HEADINGS, day_cells(days)),
        _image_html(_service_chart(days, modules)),
    ]
    if CURRENT_MODULE in modules:
        for module in modules:
            if module != CURRENT_MODULE:
                parts += _comparison_html(rows, module)
    return "\n".join(parts) + "\n"


def _provenance_html(rows: polars.DataFrame) -> str:
    failed = rows.filter(polars.col("failed") != "")
    return (
        f"<p>{len(rows)} runs, {len(failed)} could not be simulated, "
        f"{int(rows['breaches'].fill_null(0).sum())} rule violations; "
        f"commits {', '.join(sorted(set(rows['commit'].to_list())))}.</p>"
    )


def _service_chart(days: polars.DataFrame, modules: list[str]) -> Figure:
    """Plot the mean service of each day, with one series of points per router."""
    # Imported here because loading it is slow and other commands don't need it.
    from matplotlib.figure import Figure

    figure = Figure(
        figsize=(CHART_WIDTH, CHART_HEIGHT_PER_DAY * max(CHART_MIN_DAYS, days["day"].n_unique()) + 1)
    )
    axes = figure.subplots()
    day_names = list(dict.fromkeys(days["day"].to_list()))
    for module in modules:
        module_rows = days.filter(polars.col("module") == module).iter_rows(named=True)
        service_by_day = {row["day"]: row["service"] for row in module_rows}
        axes.plot(
            [service_by_day.get(day_name, nan) for day_name in day_names],
            list(range(len(day_names))),
            "o",
            label=module,
        )
    axes.set_yticks(range(len(day_names)), day_names)
    axes.set_xlabel("mean service")
    axes.legend()
    axes.grid(alpha=0.3)
    return figure


def _comparison_html(rows: polars.DataFrame, module: str) -> list[str]:
    """Return the differences by day between the current router and another one."""
    differences = paired_differences(rows, "module", module, CURRENT_MODULE)
    return [
        f"<h2>{CURRENT_MODULE} minus {html.escape(module)}</h2>",
        _table_html(
            DIFFERENCE_HEADINGS,
            [[day or "all", *difference.cells()] for day, difference in differences.items()],
        ),
    ]
