/// Small charts as SVG text, for pages that need nothing else.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace basilpath
{

/// A point of a line, in the units of the axes.
struct chart_point
{
    double x = 0.0;
    double y = 0.0;
};

/// One line of a line chart.
struct chart_line
{
    std::string name;
    std::vector<chart_point> points;
};

/// One row of a bar chart: a label and a bar for each name of the legend.
struct chart_row
{
    std::string label;
    std::vector<double> values;
};

/// Lines over a logarithmic x axis from `x_least` to `x_most` and a y axis from
/// 0 to 1 written in percent.
[[nodiscard]] std::string line_chart(std::string_view title,
                                     std::string_view x_label, double x_least,
                                     double x_most,
                                     const std::vector<chart_line>& lines);

/// Horizontal bars from zero, their values written at their ends; `mark` draws
/// a vertical line at that value, unless it is zero.
[[nodiscard]] std::string bar_chart(std::string_view title,
                                    const std::vector<std::string>& legend,
                                    const std::vector<chart_row>& rows,
                                    double mark);

/// Returns a text with the characters that HTML and SVG give a meaning
/// escaped.
[[nodiscard]] std::string escape_markup(std::string_view text);

} // namespace basilpath
