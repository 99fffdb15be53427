#pragma once

#include <functional>
#include <utility>

namespace greengagehitch {

/// Runs a function at the end of the scope, unless dismiss() was called.
class scope_guard {
public:
    explicit scope_guard(std::function<void()> action) : m_action(std::move(action)) {}
    ~scope_guard()
    {
        if (m_action) {
            m_action();
        }
    }
    scope_guard(scope_guard const&) = delete;
    scope_guard& operator=(scope_guard const&) = delete;
    scope_guard(scope_guard&&) = delete;
    scope_guard& operator=(scope_guard&&) = delete;

    void dismiss() { m_action = nullptr; }

private:
    std::function<void()> m_action;
};

} // namespace greengagehitch
