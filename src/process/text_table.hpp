/// Tables of aligned text.
#pragma once

#include <string>
#include <vector>

namespace basilpath
{

/// Rows of cells; the first row is the heading.
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    /// Adds a row, with as many cells as the heading has.
    void add(std::vector<std::string> row);

    /// The table, columns apart by two spaces; columns of numbers stand to the
    /// right. Every line ends with a newline.
    [[nodiscard]] std::string format() const;

private:
    std::vector<std::vector<std::string>> rows;
};

} // namespace basilpath
