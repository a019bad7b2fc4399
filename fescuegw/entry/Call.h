// Parsing of callers' HTTP requests and rendering of the responses.
#pragma once

#include <string>

#include "fescuegw/base/Types.h"
#include "fescuegw/dispatch/ServiceDispatcher.h"
#include "fescuegw/http/Server.h"

namespace fescuegw::entry {

enum class CallKind : uint8_t {
    Submit,
    Read,
    Cancel,
    SingleRequest,
};

// A request about one submission. `service` is empty for Read and Cancel until the submission has been looked up.
struct Call {
    CallKind kind = CallKind::Read;
    SubmissionKey key;
    std::string service;
    dispatch::SubmissionSpec spec;
    // How long the caller waits for a response.
    Duration wait { 0 };
};

constexpr uint32_t maxTasks = 840;
constexpr size_t maxInputBytes = 64U << 10U;

// Parses an HTTP request under /v1/teams or /v1/services. Returns the error to respond with if the request is invalid.
Result<Call> parseCall(const http::Request&);

// Returns the HTTP response for the reply to a call.
http::Response renderReply(const Call&, const dispatch::Reply&);

} // namespace fescuegw::entry
