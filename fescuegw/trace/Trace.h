// Spans of W3C trace context, written as OTLP/JSON lines. No OpenTelemetry library is packaged for C++.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace fescuegw::trace {

// The part of a W3C `traceparent` header that hops pass on.
struct Context {
    std::string traceId;
    std::string spanId;

    friend bool operator==(const Context&, const Context&) = default;
};

// Returns the context in `traceparent`, or a new trace without a parent when it is absent or malformed.
Context parse(const std::string& traceparent);

// Returns a child of `parent` with a new span id.
Context child(const Context& parent);

// Returns the header value of `context`.
std::string format(const Context& context);

// Appends spans to a file, one OTLP/JSON document a line. An empty path discards them. Thread-safe.
class Recorder {
public:
    Recorder(std::string service, const std::string& path);
    ~Recorder();
    Recorder(const Recorder&) = delete;
    Recorder& operator=(const Recorder&) = delete;
    Recorder(Recorder&&) = delete;
    Recorder& operator=(Recorder&&) = delete;

    bool enabled() const;

    // Records the span `self` below `parent`; times are in microseconds since 1970.
    void record(
        const Context& parent, const Context& self, const std::string& name, uint64_t startUs, uint64_t endUs, bool succeeded);

private:
    struct File;
    std::string m_service;
    std::unique_ptr<File> m_file;
};

// Returns the wall clock in microseconds since 1970.
uint64_t wallClockUs();

} // namespace fescuegw::trace
