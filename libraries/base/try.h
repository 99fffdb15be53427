#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace greengagehitch::detail {

inline absl::Status status_of(absl::Status status)
{
    return status;
}

template <typename Value>
absl::Status status_of(absl::StatusOr<Value> const& result)
{
    return result.status();
}

inline void value_of(absl::Status const& /*status*/) {}

template <typename Value>
Value value_of(absl::StatusOr<Value>&& result)
{
    return *std::move(result);
}

} // namespace greengagehitch::detail

/// Evaluates an absl::Status or absl::StatusOr expression. On an error, returns the status from the enclosing
/// function; otherwise, evaluates to the value.
#define TRY(expression)                                                                                      \
    __extension__({                                                                                          \
        auto try_result = (expression);                                                                      \
        if (!try_result.ok()) [[unlikely]] {                                                                 \
            return ::greengagehitch::detail::status_of(std::move(try_result));                               \
        }                                                                                                    \
        ::greengagehitch::detail::value_of(std::move(try_result));                                           \
    })
