/// The answer to one HTTP request.
#pragma once

#include <string>
#include <vector>

namespace basilpath
{

/// One header of an answer.
struct http_header
{
    std::string name;
    std::string value;
};

/// Status, headers and body of an answer.
struct http_answer
{
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::vector<http_header> headers;
};

} // namespace basilpath
