"""Bar charts as SVG: one panel per figure, a bar per arm, a dot per run."""

import html
import statistics

PANEL_WIDTH = 220
PANEL_HEIGHT = 170
COLUMNS = 4
MARGIN = 30
COLOURS = ["#4477aa", "#ee6677", "#228833", "#ccbb44", "#66ccee", "#aa3377"]


def text(x, y, content, size=11, anchor="middle"):
    return (f'<text x="{x:.1f}" y="{y:.1f}" font-size="{size}" text-anchor="{anchor}" '
            f'font-family="sans-serif">{html.escape(content)}</text>')


def panel(x, y, name, runs, arms):
    """One figure: the median of every arm as a bar, every run as a dot."""
    values = {arm: [one[name] for one in runs[arm] if name in one] for arm in arms}
    top = max([1e-9] + [value for own in values.values() for value in own])
    height = PANEL_HEIGHT - 2 * MARGIN
    floor = y + PANEL_HEIGHT - MARGIN
    parts = [text(x + PANEL_WIDTH / 2, y + 16, name, 12),
             f'<line x1="{x + 8}" y1="{floor}" x2="{x + PANEL_WIDTH - 8}" y2="{floor}" '
             'stroke="#444"/>']
    width = (PANEL_WIDTH - 16) / len(arms)
    for index, arm in enumerate(arms):
        if not values[arm]:
            continue
        left = x + 8 + index * width
        median = statistics.median(values[arm])
        bar = height * median / top
        parts.append(f'<rect x="{left + 6:.1f}" y="{floor - bar:.1f}" width="{width - 12:.1f}" '
                     f'height="{bar:.1f}" fill="{COLOURS[index % len(COLOURS)]}"/>')
        for value in values[arm]:
            parts.append(f'<circle cx="{left + width / 2:.1f}" '
                         f'cy="{floor - height * value / top:.1f}" r="2.5" fill="#222"/>')
        parts.append(text(left + width / 2, floor + 13, arm, 10))
        parts.append(text(left + width / 2, floor - bar - 5, f"{median:.3g}", 10))
    return parts


def bar_chart(title, names, runs, arms):
    """The SVG of an experiment."""
    rows = (len(names) + COLUMNS - 1) // COLUMNS
    width = COLUMNS * PANEL_WIDTH
    height = rows * PANEL_HEIGHT + 30
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">',
             '<rect width="100%" height="100%" fill="white"/>', text(width / 2, 20, title, 15)]
    for index, name in enumerate(names):
        parts += panel(index % COLUMNS * PANEL_WIDTH, 30 + index // COLUMNS * PANEL_HEIGHT,
                       name, runs, arms)
    return "\n".join(parts + ["</svg>", ""])
