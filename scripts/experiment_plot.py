"""Bar charts as SVG with a panel per figure, a bar per arm and a dot per run."""

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
    """Returns the SVG elements of one figure: medians as bars, runs as dots."""
    values = {arm: [one[name] for one in runs[arm] if name in one] for arm in arms}
    top = max([1e-9] + [value for arm_values in values.values() for value in arm_values])
    height = PANEL_HEIGHT - 2 * MARGIN
    baseline = y + PANEL_HEIGHT - MARGIN
    parts = [text(x + PANEL_WIDTH / 2, y + 16, name, 12),
             f'<line x1="{x + 8}" y1="{baseline}" x2="{x + PANEL_WIDTH - 8}" y2="{baseline}" '
             'stroke="#444"/>']
    width = (PANEL_WIDTH - 16) / len(arms)
    for index, arm in enumerate(arms):
        if not values[arm]:
            continue
        left = x + 8 + index * width
        median = statistics.median(values[arm])
        bar = height * median / top
        parts.append(f'<rect x="{left + 6:.1f}" y="{baseline - bar:.1f}" width="{width - 12:.1f}" '
                     f'height="{bar:.1f}" fill="{COLOURS[index % len(COLOURS)]}"/>')
        for value in values[arm]:
            parts.append(f'<circle cx="{left + width / 2:.1f}" '
                         f'cy="{baseline - height * value / top:.1f}" r="2.5" fill="#222"/>')
        parts.append(text(left + width / 2, baseline + 13, arm, 10))
        parts.append(text(left + width / 2, baseline - bar - 5, f"{median:.3g}", 10))
    return parts


def bar_chart(title, names, runs, arms):
    """Returns the SVG of an experiment."""
    rows = (len(names) + COLUMNS - 1) // COLUMNS
    width = COLUMNS * PANEL_WIDTH
    height = rows * PANEL_HEIGHT + 30
    parts = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}">',
             '<rect width="100%" height="100%" fill="white"/>', text(width / 2, 20, title, 15)]
    for index, name in enumerate(names):
        parts += panel(index % COLUMNS * PANEL_WIDTH, 30 + index // COLUMNS * PANEL_HEIGHT,
                       name, runs, arms)
    return "\n".join(parts + ["</svg>", ""])
