#pragma once

#include <array>
#include <string>

#include "base/enum_names.h"

namespace greengagehitch {

/// What went wrong on the way to or in a database.
enum class database_error {
    refused,           ///< The member refused the connection.
    connection_lost,   ///< The connection ended before the answer; the fate of the batch is open.
    timed_out,         ///< No answer in time; the fate of the batch is open.
    statement_failed,  ///< The database rejected a statement; the transaction did not commit.
    read_only,         ///< The member takes no writes now, since it is no primary or was fenced.
    duplicate_outcome, ///< An outcome with this request id is recorded already.
    too_many_connections,
    conflict, ///< Serialization failure, deadlock or lock timeout; the transaction did not commit.
};

inline constexpr std::array database_error_names{
    enum_name<database_error>{database_error::refused, "refused"},
    enum_name<database_error>{database_error::connection_lost, "connection_lost"},
    enum_name<database_error>{database_error::timed_out, "timed_out"},
    enum_name<database_error>{database_error::statement_failed, "statement_failed"},
    enum_name<database_error>{database_error::read_only, "read_only"},
    enum_name<database_error>{database_error::duplicate_outcome, "duplicate_outcome"},
    enum_name<database_error>{database_error::too_many_connections, "too_many_connections"},
    enum_name<database_error>{database_error::conflict, "conflict"},
};

struct database_failure {
    database_error error = database_error::connection_lost;
    std::string sqlstate; ///< Five characters, empty when the database sent none.
    std::string message;
};

/// Turns a SQLSTATE of PostgreSQL's appendix A into this layer's error.
database_error classify_sqlstate(std::string_view sqlstate);

/// True when the database said that the statement had no effect, so that nothing of the batch committed.
bool is_definite(database_error error);

} // namespace greengagehitch
