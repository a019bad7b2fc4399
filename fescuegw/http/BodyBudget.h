// Bound of the bytes that a process holds in the requests of its callers.
#pragma once

#include <cstddef>
#include <functional>
#include <mutex>

namespace fescuegw::http {

// Guards against load that fills a process's memory with requests of permitted size. A holder is one request; it passes the bytes
// that it holds with each call. Thread-safe.
class BodyBudget {
public:
    // `onChange` is called with the bytes held after each change, with the lock held.
    explicit BodyBudget(size_t limit, std::function<void(size_t)> onChange = {});

    // Reserves `more` bytes for a holder of `held` bytes. Returns false if the limit would be exceeded; a holder that is alone is
    // always granted, so that a limit below the size of one request still lets requests through one at a time.
    bool reserve(size_t held, size_t more);
    void release(size_t held);

    size_t held() const;
    size_t limit() const { return m_limit; }

private:
    size_t m_limit;
    std::function<void(size_t)> m_onChange;
    mutable std::mutex m_mutex;
    size_t m_held = 0;
};

} // namespace fescuegw::http
