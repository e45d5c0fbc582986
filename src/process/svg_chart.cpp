#include "process/svg_chart.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <cmath>
#include <iterator>

namespace basilpath
{

namespace
{

constexpr std::array<std::string_view, 8> colours = {
    "#2a6fbb", "#d1722a", "#3a8f5c", "#9a4fa3",
    "#b8a11e", "#c0455a", "#5a6b7b", "#39a0a6"};

constexpr double chart_width = 760.0;
constexpr double left_margin = 190.0;
constexpr double right_margin = 70.0;
constexpr double top_margin = 34.0;
constexpr double plot_width = chart_width - left_margin - right_margin;
constexpr double line_plot_height = 240.0;
constexpr double axis_space = 44.0;
constexpr double bar_height = 12.0;
constexpr double row_gap = 8.0;
constexpr double legend_height = 18.0;
constexpr double label_offset = 4.0;

std::string_view colour(std::size_t index)
{
    return colours.at(index % colours.size());
}

// Opens an SVG with a title that screen readers read.
std::string open_svg(std::string_view title, double height)
{
    const std::string text = escape_markup(title);
    return fmt::format("<svg viewBox=\"0 0 {} {}\" role=\"img\" "
                       "aria-label=\"{}\"><text x=\"0\" y=\"18\" "
                       "class=\"title\">{}</text>\n",
                       chart_width, height, text, text);
}

void add_text(std::string& svg, double x, double y, std::string_view anchor,
              std::string_view text)
{
    fmt::format_to(std::back_inserter(svg),
                   "<text x=\"{:.1f}\" y=\"{:.1f}\" text-anchor=\"{}\">{}"
                   "</text>\n",
                   x, y, anchor, escape_markup(text));
}

void add_rule(std::string& svg, double x1, double y1, double x2, double y2,
              std::string_view kind)
{
    fmt::format_to(std::back_inserter(svg),
                   "<line x1=\"{:.1f}\" y1=\"{:.1f}\" x2=\"{:.1f}\" "
                   "y2=\"{:.1f}\" class=\"{}\"/>\n",
                   x1, y1, x2, y2, kind);
}

// Writes the names of a chart's colours below each other.
void add_legend(std::string& svg, double top,
                const std::vector<std::string>& names)
{
    for (std::size_t i = 0; i < names.size(); ++i)
    {
        const double y = top + legend_height * static_cast<double>(i);
        fmt::format_to(std::back_inserter(svg),
                       "<rect x=\"{}\" y=\"{:.1f}\" width=\"12\" height=\"12\" "
                       "fill=\"{}\"/>\n",
                       left_margin, y, colour(i));
        add_text(svg, left_margin + 18.0, y + 10.0, "start", names[i]);
    }
}

// Draws the percent grid and the decades of the x axis.
void add_line_axes(std::string& svg, std::string_view x_label, double x_least,
                   double x_most)
{
    for (int step = 0; step <= 4; ++step)
    {
        const double y = top_margin + line_plot_height * (4 - step) / 4.0;
        add_rule(svg, left_margin, y, left_margin + plot_width, y, "grid");
        add_text(svg, left_margin - 8.0, y + label_offset, "end",
                 fmt::format("{}%", step * 25));
    }
    const double decades = std::log10(x_most / x_least);
    const double bottom = top_margin + line_plot_height;
    for (double x = x_least; x <= x_most * 1.0001; x *= 10.0)
    {
        const double place =
            left_margin + plot_width * std::log10(x / x_least) / decades;
        add_rule(svg, place, top_margin, place, bottom, "grid");
        add_text(svg, place, bottom + 16.0, "middle", fmt::format("{:g}", x));
    }
    add_text(svg, left_margin + plot_width / 2.0, bottom + 34.0, "middle",
             x_label);
}

} // namespace

std::string line_chart(std::string_view title, std::string_view x_label,
                       double x_least, double x_most,
                       const std::vector<chart_line>& lines)
{
    assert(x_least > 0.0 && x_most > x_least);
    const double bottom = top_margin + line_plot_height;
    const double legend_top = bottom + axis_space;
    std::string svg = open_svg(
        title, legend_top + legend_height * static_cast<double>(lines.size()));
    add_line_axes(svg, x_label, x_least, x_most);
    const double decades = std::log10(x_most / x_least);
    std::vector<std::string> names;
    for (std::size_t i = 0; i < lines.size(); ++i)
    {
        std::string points;
        for (const chart_point& point : lines[i].points)
        {
            const double x = std::clamp(point.x, x_least, x_most);
            fmt::format_to(std::back_inserter(points), "{:.1f},{:.1f} ",
                           left_margin +
                               plot_width * std::log10(x / x_least) / decades,
                           bottom - line_plot_height * point.y);
        }
        fmt::format_to(std::back_inserter(svg),
                       "<polyline points=\"{}\" fill=\"none\" stroke=\"{}\" "
                       "stroke-width=\"2\"/>\n",
                       points, colour(i));
        names.push_back(lines[i].name);
    }
    add_legend(svg, legend_top, names);
    return svg + "</svg>\n";
}

std::string bar_chart(std::string_view title,
                      const std::vector<std::string>& legend,
                      const std::vector<chart_row>& rows, double mark)
{
    double most = std::max(mark, 1e-9);
    for (const chart_row& row : rows)
    {
        for (const double value : row.values)
        {
            most = std::max(most, value);
        }
    }
    const double row_height =
        bar_height * static_cast<double>(legend.size()) + row_gap;
    const double bottom =
        top_margin + row_height * static_cast<double>(rows.size());
    const bool named = legend.size() > 1;
    const double legend_space =
        named ? legend_height * static_cast<double>(legend.size()) : 0.0;
    std::string svg = open_svg(title, bottom + 10.0 + legend_space);
    double y = top_margin;
    for (const chart_row& row : rows)
    {
        add_text(svg, left_margin - 8.0, y + row_height / 2.0, "end",
                 row.label);
        for (std::size_t i = 0; i < row.values.size(); ++i)
        {
            const double width = plot_width * row.values[i] / most;
            const double top = y + bar_height * static_cast<double>(i);
            fmt::format_to(std::back_inserter(svg),
                           "<rect x=\"{}\" y=\"{:.1f}\" width=\"{:.1f}\" "
                           "height=\"{}\" fill=\"{}\"/>\n",
                           left_margin, top, width, bar_height - 2.0,
                           colour(i));
            add_text(svg, left_margin + width + 5.0, top + 9.0, "start",
                     fmt::format("{:.4g}", row.values[i]));
        }
        y += row_height;
    }
    if (mark > 0.0)
    {
        const double x = left_margin + plot_width * mark / most;
        add_rule(svg, x, top_margin - 4.0, x, bottom, "mark");
    }
    if (named)
    {
        add_legend(svg, bottom + 6.0, legend);
    }
    return svg + "</svg>\n";
}

std::string escape_markup(std::string_view text)
{
    std::string escaped;
    for (const char c : text)
    {
        switch (c)
        {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

} // namespace basilpath
