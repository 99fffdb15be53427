#pragma once

#include <utility>

#include <unistd.h>

namespace greengagehitch {

/// Owns a file descriptor.
class file_descriptor {
public:
    file_descriptor() = default;
    explicit file_descriptor(int value) : m_value(value) {}
    ~file_descriptor() { reset(); }
    file_descriptor(file_descriptor const&) = delete;
    file_descriptor& operator=(file_descriptor const&) = delete;
    file_descriptor(file_descriptor&& other) noexcept : m_value(std::exchange(other.m_value, -1)) {}
    file_descriptor& operator=(file_descriptor&& other) noexcept
    {
        reset();
        m_value = std::exchange(other.m_value, -1);
        return *this;
    }

    int get() const { return m_value; }
    bool is_valid() const { return m_value >= 0; }

    void reset()
    {
        if (m_value >= 0) {
            ::close(std::exchange(m_value, -1));
        }
    }

private:
    int m_value = -1;
};

} // namespace greengagehitch
