#include "process/text_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <ranges>
#include <string_view>

namespace basilpath
{

namespace
{

constexpr std::string_view column_gap = "  ";

// Counts characters, not bytes, of UTF-8 text.
std::size_t width_of(std::string_view text)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        text, [](char c)
        { return (static_cast<unsigned char>(c) & 0xc0U) != 0x80; }));
}

// Tells whether a cell may stand in a column of numbers.
bool is_number(std::string_view text)
{
    return text.find_first_not_of("0123456789.%-") == std::string_view::npos;
}

using table_rows = std::vector<std::vector<std::string>>;

std::size_t column_width(const table_rows& rows, std::size_t column)
{
    return std::ranges::max(std::views::transform(
        rows, [column](const auto& row) { return width_of(row[column]); }));
}

// Tells whether all cells below the heading are numbers, dashes or empty.
bool is_numeric(const table_rows& rows, std::size_t column)
{
    return std::ranges::all_of(rows | std::views::drop(1),
                               [column](const auto& row)
                               { return is_number(row[column]); });
}

} // namespace

text_table::text_table(std::vector<std::string> heading)
{
    this->rows.push_back(std::move(heading));
}

void text_table::add(std::vector<std::string> row)
{
    assert(row.size() == this->rows.front().size());
    this->rows.push_back(std::move(row));
}

std::string text_table::format() const
{
    const std::size_t columns = this->rows.front().size();
    std::vector<std::string> lines(this->rows.size());
    for (std::size_t column = 0; column < columns; ++column)
    {
        const std::size_t width = column_width(this->rows, column);
        const bool right = is_numeric(this->rows, column);
        for (std::size_t i = 0; i < lines.size(); ++i)
        {
            const std::string& cell = this->rows[i][column];
            const std::string padding(width - width_of(cell), ' ');
            lines[i] += column == 0 ? std::string_view() : column_gap;
            lines[i] += right ? padding + cell : cell + padding;
        }
    }
    std::string text;
    for (std::string& line : lines)
    {
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + "\n";
    }
    return text;
}

} // namespace basilpath
