// Callers' requests as typed values, and their answers.
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

// One request about a submission. `service` is empty for Read and Cancel until it has been looked up.
struct Call {
    CallKind kind = CallKind::Read;
    SubmissionKey key;
    std::string service;
    dispatch::SubmissionSpec spec;
    // How long the caller waits for an answer.
    Duration wait { 0 };
};

constexpr uint32_t mostTasks = 840;
constexpr size_t mostInputBytes = 64U << 10U;

// Returns the call that an HTTP request under /v1/teams or /v1/services means, or the error that refuses it.
Result<Call> parseCall(const http::Request&);

// Returns the HTTP answer to a call.
http::Response renderReply(const Call&, const dispatch::Reply&);

} // namespace fescuegw::entry
