/// A gauge metric.
#pragma once

namespace basilpath
{

/// Holds the latest value of a quantity. Not thread-safe.
class gauge
{
public:
    void set(double latest)
    {
        this->current = latest;
    }

    /// Returns the latest value; 0 before the first.
    [[nodiscard]] double value() const
    {
        return this->current;
    }

private:
    double current = 0.0;
};

} // namespace basilpath
