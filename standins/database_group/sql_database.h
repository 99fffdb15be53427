#pragma once

#include <memory>
#include <string>

#include <sqlite3.h>

#include "database/statement.h"

namespace greengagehitch::standin {

struct sqlite_closer {
    void operator()(sqlite3* handle) const { sqlite3_close_v2(handle); }
};
using sqlite_handle = std::unique_ptr<sqlite3, sqlite_closer>;

/// Result of executing one statement.
struct sql_outcome {
    enum class kind { done, failed, blocked };
    kind result_kind = kind::done;
    result_set result;
    std::string sqlstate;
    std::string message;
    bool has_written = false;

    static sql_outcome failure(std::string sqlstate, std::string message);
};

/// Connection to an in-memory SQLite database. Connections with the same name share one database.
class sql_database {
public:
    /// Opens the database `name`, which must start with a slash: SQLite shares only such in-memory databases.
    explicit sql_database(std::string const& name);

    /// Executes one statement. If another connection holds a conflicting lock, the result is `blocked` and
    /// the statement had no effect.
    sql_outcome execute(statement const& request);

    /// Sets the value that current_setting('greengagehitch.client_account') returns in later statements.
    void set_client_account(std::string client_account) { *m_client_account = std::move(client_account); }
    std::string const& client_account() const { return *m_client_account; }

    bool is_in_transaction() const { return sqlite3_get_autocommit(m_handle.get()) == 0; }

private:
    sql_outcome to_outcome(int code) const;

    std::unique_ptr<std::string> m_client_account = std::make_unique<std::string>();
    sqlite_handle m_handle;
};

} // namespace greengagehitch::standin
