#pragma once

#include <array>
#include <string>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// Outcome of a refused request that the caller may rely on.
enum class outcome {
    not_run, ///< The request had no effect and will have none.
    unknown, ///< The request may have taken effect; a resolve request with its id returns the outcome.
};

inline constexpr std::array outcome_names{
    enum_name<outcome>{outcome::not_run, "not_run"},
    enum_name<outcome>{outcome::unknown, "unknown"},
};

enum class refusal_reason {
    invalid_request,
    unknown_class,
    missing_key,
    unknown_key,
    invalid_session,
    missing_request_id,
    request_id_reused,
    forbidden_statement,
    unknown_database,
    database_leaving,
    over_rate,
    overloaded,
    deadline_exceeded,
    no_primary,
    database_unavailable,
    data_too_old,
    statement_rejected,
    conflict,
    unknown_transaction,
    transaction_expired,
    vm_draining,
    vm_isolated,
    configuration_unavailable,
    commit_unresolved,
    closed_unrun,
};

inline constexpr std::array refusal_reason_names{
    enum_name<refusal_reason>{refusal_reason::invalid_request, "invalid_request"},
    enum_name<refusal_reason>{refusal_reason::unknown_class, "unknown_class"},
    enum_name<refusal_reason>{refusal_reason::missing_key, "missing_key"},
    enum_name<refusal_reason>{refusal_reason::unknown_key, "unknown_key"},
    enum_name<refusal_reason>{refusal_reason::invalid_session, "invalid_session"},
    enum_name<refusal_reason>{refusal_reason::missing_request_id, "missing_request_id"},
    enum_name<refusal_reason>{refusal_reason::request_id_reused, "request_id_reused"},
    enum_name<refusal_reason>{refusal_reason::forbidden_statement, "forbidden_statement"},
    enum_name<refusal_reason>{refusal_reason::unknown_database, "unknown_database"},
    enum_name<refusal_reason>{refusal_reason::database_leaving, "database_leaving"},
    enum_name<refusal_reason>{refusal_reason::over_rate, "over_rate"},
    enum_name<refusal_reason>{refusal_reason::overloaded, "overloaded"},
    enum_name<refusal_reason>{refusal_reason::deadline_exceeded, "deadline_exceeded"},
    enum_name<refusal_reason>{refusal_reason::no_primary, "no_primary"},
    enum_name<refusal_reason>{refusal_reason::database_unavailable, "database_unavailable"},
    enum_name<refusal_reason>{refusal_reason::data_too_old, "data_too_old"},
    enum_name<refusal_reason>{refusal_reason::statement_rejected, "statement_rejected"},
    enum_name<refusal_reason>{refusal_reason::conflict, "conflict"},
    enum_name<refusal_reason>{refusal_reason::unknown_transaction, "unknown_transaction"},
    enum_name<refusal_reason>{refusal_reason::transaction_expired, "transaction_expired"},
    enum_name<refusal_reason>{refusal_reason::vm_draining, "vm_draining"},
    enum_name<refusal_reason>{refusal_reason::vm_isolated, "vm_isolated"},
    enum_name<refusal_reason>{refusal_reason::configuration_unavailable, "configuration_unavailable"},
    enum_name<refusal_reason>{refusal_reason::commit_unresolved, "commit_unresolved"},
    enum_name<refusal_reason>{refusal_reason::closed_unrun, "closed_unrun"},
};

/// Response to a request that was not served.
struct refusal {
    outcome effect = outcome::not_run;
    refusal_reason reason = refusal_reason::invalid_request;
    std::string message;
    duration retry_after{}; ///< Delay before a retry; 0 if a retry is useless or need not wait.
};

} // namespace greengagehitch
