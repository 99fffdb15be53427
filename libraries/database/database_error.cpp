#include "database/database_error.h"

namespace greengagehitch {

database_error classify_sqlstate(std::string_view sqlstate)
{
    constexpr std::string_view read_only_sql_transaction = "25006";
    constexpr std::string_view too_many_connections = "53300";
    constexpr std::string_view lock_not_available = "55P03";
    constexpr std::string_view transaction_rollback_class = "40";
    constexpr std::string_view connection_exception_class = "08";
    constexpr std::string_view operator_intervention_class = "57";
    if (sqlstate == read_only_sql_transaction) {
        return database_error::read_only;
    }
    if (sqlstate == too_many_connections) {
        return database_error::too_many_connections;
    }
    if (sqlstate == lock_not_available || sqlstate.starts_with(transaction_rollback_class)) {
        return database_error::conflict;
    }
    if (sqlstate.empty() || sqlstate.starts_with(connection_exception_class) ||
        sqlstate.starts_with(operator_intervention_class)) {
        return database_error::connection_lost;
    }
    return database_error::statement_failed;
}

bool is_definite(database_error error)
{
    switch (error) {
    case database_error::refused:
    case database_error::statement_failed:
    case database_error::read_only:
    case database_error::duplicate_outcome:
    case database_error::too_many_connections:
    case database_error::conflict:
        return true;
    case database_error::connection_lost:
    case database_error::timed_out:
        return false;
    }
    return false;
}

} // namespace greengagehitch
