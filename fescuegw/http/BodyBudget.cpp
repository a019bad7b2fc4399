#include "fescuegw/http/BodyBudget.h"

#include <utility>

namespace fescuegw::http {

BodyBudget::BodyBudget(size_t limit, std::function<void(size_t)> onChange)
    : m_limit(limit)
    , m_onChange(std::move(onChange))
{
}

bool BodyBudget::reserve(size_t held, size_t more)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    const bool alone = m_held <= held;
    const bool fits = m_held <= m_limit && more <= m_limit - m_held;
    if (!fits && !alone)
        return false;
    m_held += more;
    if (m_onChange)
        m_onChange(m_held);
    return true;
}

void BodyBudget::release(size_t held)
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    m_held -= held;
    if (m_onChange)
        m_onChange(m_held);
}

size_t BodyBudget::held() const
{
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_held;
}

} // namespace fescuegw::http
