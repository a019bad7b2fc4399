#include "fescuegw/trace/Trace.h"

#include <array>
#include <chrono>
#include <fstream>
#include <mutex>
#include <random>

#include <nlohmann/json.hpp>

namespace fescuegw::trace {

namespace {

    constexpr size_t traceIdDigits = 32;
    constexpr size_t spanIdDigits = 16;
    constexpr size_t traceparentLength = 55;

    std::string randomHex(size_t digits)
    {
        thread_local std::mt19937_64 generator(std::random_device {}());
        static constexpr std::array<char, 17> hexDigits { "0123456789abcdef" };
        std::string text;
        while (text.size() < digits) {
            uint64_t n = generator();
            for (size_t i = 0; i < 16 && text.size() < digits; ++i, n >>= 4U)
                text += hexDigits[n & 15U];
        }
        return text;
    }

    bool isHex(const std::string& text) { return text.find_first_not_of("0123456789abcdef") == std::string::npos; }

} // namespace

Context parse(const std::string& traceparent)
{
    if (traceparent.size() == traceparentLength && traceparent[2] == '-' && traceparent[35] == '-' && traceparent[52] == '-') {
        Context context { traceparent.substr(3, traceIdDigits), traceparent.substr(36, spanIdDigits) };
        if (isHex(context.traceId) && isHex(context.spanId))
            return context;
    }
    return Context { randomHex(traceIdDigits), "" };
}

Context child(const Context& parent) { return Context { parent.traceId, randomHex(spanIdDigits) }; }

std::string format(const Context& context) { return "00-" + context.traceId + "-" + context.spanId + "-01"; }

struct Recorder::File {
    std::mutex mutex;
    std::ofstream stream;
};

Recorder::Recorder(std::string service, const std::string& path)
    : m_service(std::move(service))
{
    if (path.empty())
        return;
    m_file = std::make_unique<File>();
    m_file->stream.open(path, std::ios::app);
}

Recorder::~Recorder() = default;

bool Recorder::enabled() const { return m_file != nullptr; }

void Recorder::record(
    const Context& parent, const Context& self, const std::string& name, uint64_t startUs, uint64_t endUs, bool succeeded)
{
    if (m_file == nullptr)
        return;
    constexpr int statusOk = 1;
    constexpr int statusError = 2;
    const nlohmann::json span = {
        { "traceId", self.traceId },
        { "spanId", self.spanId },
        { "parentSpanId", parent.spanId },
        { "name", name },
        { "startTimeUnixNano", std::to_string(startUs * 1000) },
        { "endTimeUnixNano", std::to_string(endUs * 1000) },
        { "status", { { "code", succeeded ? statusOk : statusError } } },
    };
    const nlohmann::json attribute = { { "key", "service.name" }, { "value", { { "stringValue", m_service } } } };
    const nlohmann::json scope = { { "spans", nlohmann::json::array({ span }) } };
    const nlohmann::json resource = { { "resource", { { "attributes", nlohmann::json::array({ attribute }) } } },
        { "scopeSpans", nlohmann::json::array({ scope }) } };
    const nlohmann::json line = { { "resourceSpans", nlohmann::json::array({ resource }) } };
    const std::lock_guard<std::mutex> lock(m_file->mutex);
    m_file->stream << line.dump() << '\n';
    m_file->stream.flush();
}

uint64_t wallClockUs()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

} // namespace fescuegw::trace
