// W3C trace context and spans in OTLP/JSON, implemented here because no OpenTelemetry library is packaged for C++.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace fescuegw::trace {

// The ids in a W3C `traceparent` header.
struct Context {
    std::string traceId;
    std::string spanId;

    friend bool operator==(const Context&, const Context&) = default;
};

// Parses a `traceparent` header. If it is absent or malformed, returns a new trace without a parent span.
Context parse(const std::string& traceparent);

// Returns a context in the trace of `parent` with a new span id.
Context child(const Context& parent);

// Returns the `traceparent` header for `context`, with the sampled flag set.
std::string format(const Context& context);

// Appends spans to a file, one OTLP/JSON document per line. An empty path disables recording. Thread-safe.
class Recorder {
public:
    Recorder(std::string service, const std::string& path);
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;
    Recorder(Recorder&&) = delete;
    Recorder& operator=(Recorder&&) = delete;

    bool enabled() const;

    // Records the span `self` as a child of `parent`. Times are in microseconds since the Unix epoch.
    void record(
        const Context& parent, const Context& self, const std::string& name, uint64_t startUs, uint64_t endUs, bool succeeded);

private:
    struct File;
    std::string m_service;
    std::unique_ptr<File> m_file;
};

// Returns the wall-clock time in microseconds since the Unix epoch.
uint64_t wallClockUs();

} // namespace fescuegw::trace
