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

/// What became of one statement.
struct sql_outcome {
    enum class kind { done, failed, blocked };
    kind result_kind = kind::done;
    result_set result;
    std::string sqlstate;
    std::string message;
    bool has_written = false;

    static sql_outcome failure(std::string sqlstate, std::string message);
};

/// Handle on one in-memory SQLite database that several handles share by name.
class sql_database {
public:
    /// `name` starts with a slash; all handles of that name see the same data.
    explicit sql_database(std::string const& name);

    /// Runs one statement. A lock that another handle holds gives `blocked`; nothing was done then.
    sql_outcome execute(statement const& request);

    /// Value of current_setting('greengagehitch.client_account') in later statements.
    void set_client_account(std::string client_account) { *m_client_account = std::move(client_account); }
    std::string const& client_account() const { return *m_client_account; }

    bool is_in_transaction() const { return sqlite3_get_autocommit(m_handle.get()) == 0; }

private:
    sql_outcome to_outcome(int code) const;

    std::unique_ptr<std::string> m_client_account = std::make_unique<std::string>();
    sqlite_handle m_handle;
};

} // namespace greengagehitch::standin
