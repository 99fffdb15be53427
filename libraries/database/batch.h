#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "database/database_error.h"
#include "database/statement.h"

namespace greengagehitch {

/// Identifies a connection that the database hooks opened.
enum class connection_id : std::uint64_t { none = 0 };

/// Statements that are sent in one round trip, followed by one synchronization point. After the first
/// statement that fails, the rest are skipped.
struct batch {
    std::vector<statement> statements;
};

/// Answer to a batch: the results of the statements that succeeded, in order, and the failure that ended it.
struct batch_answer {
    std::vector<result_set> results;
    std::optional<database_failure> failure;

    bool is_ok() const { return !failure.has_value(); }
};

/// Network address of one member of a database group.
struct member_address {
    std::string host; ///< IP address.
    std::uint16_t port = 0;
    std::string database; ///< Name of the database on that server.

    bool operator==(member_address const&) const = default;
};

using open_callback = std::function<void(std::optional<database_failure>)>;
using batch_callback = std::function<void(batch_answer)>;

/// Functions through which databases are accessed. Every callback runs at most once, only after the function
/// has returned, and possibly after the connection was closed.
struct database_hooks {
    /// Starts to open a connection.
    std::function<connection_id(member_address const&, open_callback)> open;
    /// Sends a batch. Several batches may be pending on one connection; their answers arrive in order.
    std::function<void(connection_id, batch, batch_callback)> execute;
    std::function<void(connection_id)> close;
};

} // namespace greengagehitch
