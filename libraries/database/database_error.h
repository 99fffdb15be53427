#pragma once

#include <array>
#include <string>

#include "base/enum_names.h"

namespace greengagehitch {

/// Kind of failure of a request to a database.
enum class database_error {
    refused,              ///< The member refused the connection.
    connection_lost,      ///< The connection ended before the answer; the outcome of the batch is unknown.
    timed_out,            ///< No answer arrived within the timeout; the outcome of the batch is unknown.
    statement_failed,     ///< The database rejected a statement; the transaction did not commit.
    read_only,            ///< The member accepts no writes, since it is not the primary or was fenced.
    duplicate_outcome,    ///< An outcome record with this request id exists already.
    too_many_connections, ///< The member has reached its connection limit.
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

/// Failure of a request to a database, with the details that the database returned.
struct database_failure {
    database_error error = database_error::connection_lost;
    std::string sqlstate; ///< SQLSTATE of five characters; empty if not returned.
    std::string message;
};

/// Maps a SQLSTATE, as listed in appendix A of the PostgreSQL documentation, to a `database_error`.
database_error classify_sqlstate(std::string_view sqlstate);

/// True when the error shows that the statement had no effect, so that nothing in the batch was committed.
bool is_definite(database_error error);

} // namespace greengagehitch
