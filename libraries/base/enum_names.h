#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace greengagehitch {

template <typename Enum>
struct enum_name {
    Enum value;
    std::string_view name;
};

/// Returns the name of `value` in `table`, or "unknown" when the table does not contain it.
template <typename Enum, std::size_t Size>
constexpr std::string_view find_name(std::array<enum_name<Enum>, Size> const& table, Enum value)
{
    for (auto const& entry : table) {
        if (entry.value == value) {
            return entry.name;
        }
    }
    return "unknown";
}

/// Returns the value whose name in `table` is `name`, or std::nullopt when the table does not contain it.
template <typename Enum, std::size_t Size>
constexpr std::optional<Enum> find_value(std::array<enum_name<Enum>, Size> const& table,
                                         std::string_view name)
{
    for (auto const& entry : table) {
        if (entry.name == name) {
            return entry.value;
        }
    }
    return std::nullopt;
}

} // namespace greengagehitch
