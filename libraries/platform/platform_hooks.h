#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// Row of the platform's table service. The version increases by one with each change; version 0 stands for
/// an absent row.
struct table_row {
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    std::int64_t read_at_ms = 0; ///< Time of the read on the store's steady clock; 0 if not reported.
    std::uint64_t era = 0;       ///< Era of the store; see store_position.
};

enum class vm_state { live, leaving };

inline constexpr std::array vm_state_names{
    enum_name<vm_state>{vm_state::live, "live"},
    enum_name<vm_state>{vm_state::leaving, "leaving"},
};

/// Entry VM in the platform's list of VMs. The list may be outdated.
struct vm_record {
    std::string name;
    std::string availability_zone;
    std::string peer_host; ///< IP address.
    std::uint16_t peer_port = 0;
    vm_state state = vm_state::live;
    double processor_share = 1; ///< Number of processor cores, which may be a fraction.
};

/// Asynchronous calls to the platform. Each callback is called at most once. After the status codes
/// kUnavailable and kDeadlineExceeded of absl::StatusCode, it is unknown whether a change took effect;
/// kAborted means that the row did not have the expected version.
struct platform_hooks {
    /// Reads a row. The result for an absent row is either std::nullopt or a row with version 0.
    std::function<void(std::string key, std::function<void(absl::StatusOr<std::optional<table_row>>)>)>
        read_row;
    std::function<void(std::string key, std::uint64_t expected_version, std::string value,
                       std::function<void(absl::StatusOr<std::uint64_t>)>)>
        put_row;
    std::function<void(std::string prefix, std::function<void(absl::StatusOr<std::vector<table_row>>)>)>
        scan_rows;
    std::function<void(std::string name, std::string body, std::function<void(absl::Status)>)> put_object;
    std::function<void(std::string name, std::function<void(absl::StatusOr<std::string>)>)> get_object;
    std::function<void(std::function<void(absl::StatusOr<std::vector<vm_record>>)>)> list_vms;
    /// Returns the latest time, by this VM's clock, at which the store can have been restored from an older
    /// copy; no value if it never was. Not set for platforms whose store is never restored.
    std::function<std::optional<monotonic_time>()> restored_at;
};

} // namespace greengagehitch
