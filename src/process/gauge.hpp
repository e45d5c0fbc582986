/// A metric that goes up and down.
#pragma once

namespace basilpath
{

/// Holds the latest value of a quantity; used on one thread.
class gauge
{
public:
    /// Replaces the value.
    void set(double latest)
    {
        this->current = latest;
    }

    /// The value set last; 0 at the start.
    [[nodiscard]] double value() const
    {
        return this->current;
    }

private:
    double current = 0.0;
};

} // namespace basilpath
