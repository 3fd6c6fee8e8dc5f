"""
Lane diagram
============

Render a timeline as SVG or HTML: one lane for each process, one mark for each event, one line
from each cause to its effect.  The document is self-contained and has no script.
"""

from __future__ import annotations

import xml.etree.ElementTree as ElementTree
from collections.abc import Iterable
from html import escape

from toucanpin.timeline.event import Event
from toucanpin.timeline.text import describe, render_text

__all__ = ["render_html", "render_svg"]

# Sizes in pixels.
NAME_WIDTH = 170
EVENT_SPACING = 22
LANE_HEIGHT = 44
MARGIN = 24
MARK_RADIUS = 5
COLOURS = ("#1b6ca8", "#b3541e", "#3a7d44", "#7b2d8b", "#8a6d00", "#a3273e", "#2f6f73", "#555555")


def render_svg(events: Iterable[Event]) -> str:
    """Return an SVG document of the events, which must be in causal order."""
    ordered = tuple(events)
    lanes = {name: index for index, name in enumerate(sorted({event.process for event in ordered}))}
    width = NAME_WIDTH + EVENT_SPACING * (len(ordered) + 1) + MARGIN
    height = LANE_HEIGHT * len(lanes) + 2 * MARGIN
    root = ElementTree.Element(
        "svg",
        {
            "xmlns": "http://www.w3.org/2000/svg",
            "width": str(width),
            "height": str(height),
            "viewBox": f"0 0 {width} {height}",
            "font-family": "sans-serif",
            "font-size": "12",
        },
    )
    for name, index in lanes.items():
        _draw_lane(root, name, index, width)
    points = _compute_points(ordered, lanes)
    _draw_causes(root, ordered, points)
    colours = _assign_colours(ordered)
    for event, (x, y) in zip(ordered, points, strict=True):
        _draw_mark(root, event, x, y, colours[_get_family(event)])
    return ElementTree.tostring(root, encoding="unicode")


def render_html(events: Iterable[Event], title: str = "Timeline") -> str:
    """Return an HTML page with the diagram and the same events as text."""
    ordered = tuple(events)
    text = "\n".join(render_text(ordered))
    return (
        "<!doctype html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title></head>\n'
        f'<body><h1>{escape(title)}</h1><div style="overflow-x:auto">{render_svg(ordered)}</div>\n'
        f"<pre>{escape(text)}</pre></body></html>\n"
    )


def _compute_points(ordered: tuple[Event, ...], lanes: dict[str, int]) -> list[tuple[int, int]]:
    """Return the coordinates of each event."""
    return [
        (NAME_WIDTH + EVENT_SPACING * (order + 1), _compute_lane_y(lanes[event.process]))
        for order, event in enumerate(ordered)
    ]


def _compute_lane_y(index: int) -> int:
    """Return the vertical position of a lane's line."""
    return MARGIN + LANE_HEIGHT * index + LANE_HEIGHT // 2


def _draw_lane(root: ElementTree.Element, name: str, index: int, width: int) -> None:
    """Draw the line and the name of one process."""
    y = str(_compute_lane_y(index))
    ends = {"x1": str(NAME_WIDTH), "y1": y, "x2": str(width - MARGIN), "y2": y}
    ElementTree.SubElement(root, "line", {**ends, "stroke": "#cccccc"})
    label = ElementTree.SubElement(root, "text", {"x": "8", "y": y, "dominant-baseline": "middle"})
    label.text = _replace_unprintable(name)


def _draw_causes(
    root: ElementTree.Element, ordered: tuple[Event, ...], points: list[tuple[int, int]]
) -> None:
    """Draw a line from each cause in the diagram to its effect."""
    drawn: dict[tuple[str, int], tuple[int, int]] = {}
    for event, (x, y) in zip(ordered, points, strict=True):
        for cause in event.causes:
            start = drawn.get((cause.process, cause.sequence))
            if start is not None:
                ends = {"x1": str(start[0]), "y1": str(start[1]), "x2": str(x), "y2": str(y)}
                ElementTree.SubElement(root, "line", {**ends, "stroke": "#999999"})
        drawn[event.process, event.sequence] = (x, y)


def _draw_mark(root: ElementTree.Element, event: Event, x: int, y: int, colour: str) -> None:
    """Draw the mark of one event, with its description as a tooltip."""
    shape = {"cx": str(x), "cy": str(y), "r": str(MARK_RADIUS), "fill": colour}
    mark = ElementTree.SubElement(root, "circle", shape)
    tooltip = ElementTree.SubElement(mark, "title")
    tooltip.text = _replace_unprintable(f"{event.process} {describe(event)}")


def _assign_colours(ordered: tuple[Event, ...]) -> dict[str, str]:
    """Return a colour for each family of event kinds."""
    families = sorted({_get_family(event) for event in ordered})
    return {family: COLOURS[index % len(COLOURS)] for index, family in enumerate(families)}


def _get_family(event: Event) -> str:
    """Return the part of an event's kind before the first dot."""
    return event.kind.split(".", 1)[0]


def _replace_unprintable(text: str) -> str:
    """Replace unprintable characters, not all of which XML allows; the library escapes markup."""
    return "".join(char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in text)
