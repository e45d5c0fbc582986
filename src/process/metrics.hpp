/// Metrics of a process: counters, gauges, latency histograms and the registry
/// that exposes them. docs/metrics.md lists every name.
#pragma once

#include "process/counter.hpp"
#include "process/gauge.hpp"
#include "process/latency_histogram.hpp"
#include "process/metrics_registry.hpp"
