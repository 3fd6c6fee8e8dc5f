"""
Lanes
=====

A time line as a picture: one lane for each process, one mark for each event, a line from each
cause.  The picture needs no other file and no script.
"""

from __future__ import annotations

import xml.etree.ElementTree as ElementTree
from collections.abc import Iterable
from html import escape

from toucanpin.timeline.event import Event
from toucanpin.timeline.text import describe, render_text

__all__ = ["render_html", "render_svg"]

NAME_WIDTH = 170
EVENT_SPACING = 22
LANE_HEIGHT = 44
MARGIN = 24
MARK_RADIUS = 5
COLOURS = ("#1b6ca8", "#b3541e", "#3a7d44", "#7b2d8b", "#8a6d00", "#a3273e", "#2f6f73", "#555555")


def render_svg(events: Iterable[Event]) -> str:
    """Draw the events, which must be in causal order, as one SVG document."""
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


def render_html(events: Iterable[Event], title: str = "Time line") -> str:
    """Show the picture and the same events as text on one page."""
    ordered = tuple(events)
    text = "\n".join(render_text(ordered))
    return (
        "<!doctype html>\n"
        f'<html lang="en"><head><meta charset="utf-8"><title>{escape(title)}</title></head>\n'
        f'<body><h1>{escape(title)}</h1><div style="overflow-x:auto">{render_svg(ordered)}</div>\n'
        f"<pre>{escape(text)}</pre></body></html>\n"
    )


def _compute_points(ordered: tuple[Event, ...], lanes: dict[str, int]) -> list[tuple[int, int]]:
    """Give each event its point."""
    return [
        (NAME_WIDTH + EVENT_SPACING * (order + 1), _compute_lane_y(lanes[event.process]))
        for order, event in enumerate(ordered)
    ]


def _compute_lane_y(index: int) -> int:
    """Return the height of a lane's line."""
    return MARGIN + LANE_HEIGHT * index + LANE_HEIGHT // 2


def _draw_lane(root: ElementTree.Element, name: str, index: int, width: int) -> None:
    """Draw one process's line and name."""
    y = str(_compute_lane_y(index))
    ends = {"x1": str(NAME_WIDTH), "y1": y, "x2": str(width - MARGIN), "y2": y}
    ElementTree.SubElement(root, "line", {**ends, "stroke": "#cccccc"})
    label = ElementTree.SubElement(root, "text", {"x": "8", "y": y, "dominant-baseline": "middle"})
    label.text = _replace_unprintable(name)


def _draw_causes(
    root: ElementTree.Element, ordered: tuple[Event, ...], points: list[tuple[int, int]]
) -> None:
    """Draw a line from each cause that is in the picture, to the event that it led to."""
    drawn: dict[tuple[str, int], tuple[int, int]] = {}
    for event, (x, y) in zip(ordered, points, strict=True):
        for cause in event.causes:
            start = drawn.get((cause.process, cause.sequence))
            if start is not None:
                ends = {"x1": str(start[0]), "y1": str(start[1]), "x2": str(x), "y2": str(y)}
                ElementTree.SubElement(root, "line", {**ends, "stroke": "#999999"})
        drawn[event.process, event.sequence] = (x, y)


def _draw_mark(root: ElementTree.Element, event: Event, x: int, y: int, colour: str) -> None:
    """Draw one event, whose words show under the pointer."""
    shape = {"cx": str(x), "cy": str(y), "r": str(MARK_RADIUS), "fill": colour}
    mark = ElementTree.SubElement(root, "circle", shape)
    tooltip = ElementTree.SubElement(mark, "title")
    tooltip.text = _replace_unprintable(f"{event.process} {describe(event)}")


def _assign_colours(ordered: tuple[Event, ...]) -> dict[str, str]:
    """Give each family of kinds its colour."""
    families = sorted({_get_family(event) for event in ordered})
    return {family: COLOURS[index % len(COLOURS)] for index, family in enumerate(families)}


def _get_family(event: Event) -> str:
    """Return the part of a kind before its first dot."""
    return event.kind.split(".", 1)[0]


def _replace_unprintable(text: str) -> str:
    """Replace what XML can't hold; the library escapes the rest."""
    return "".join(char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in text)
