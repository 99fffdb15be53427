#include "sql_database.h"

#include <absl/strings/match.h>
#include <absl/strings/str_replace.h>
#include <fmt/format.h>

#include "base/verify.h"

namespace greengagehitch::standin {

namespace {

struct statement_finalizer {
    void operator()(sqlite3_stmt* prepared) const { sqlite3_finalize(prepared); }
};
using prepared_statement = std::unique_ptr<sqlite3_stmt, statement_finalizer>;

void current_setting(sqlite3_context* context, int /*count*/, sqlite3_value** /*values*/)
{
    auto const* const client_account = static_cast<std::string const*>(sqlite3_user_data(context));
    sqlite3_result_text(context, client_account->c_str(), -1, SQLITE_TRANSIENT);
}

/// Turns the schema name `database_group` into a table name prefix, because SQLite has no schemas.
std::string to_sqlite_names(std::string const& sql)
{
    if (!absl::StrContains(sql, "database_group.")) {
        return sql;
    }
    return absl::StrReplaceAll(sql, {{"database_group.", "database_group_"}});
}

void bind_parameters(sqlite3_stmt* prepared, statement const& request)
{
    for (std::size_t i = 0; i < request.parameters.size(); ++i) {
        auto const index = sqlite3_bind_parameter_index(prepared, fmt::format("${}", i + 1).c_str());
        if (index == 0) {
            continue;
        }
        auto const& value = request.parameters[i];
        if (value) {
            sqlite3_bind_text(prepared, index, value->data(), static_cast<int>(value->size()),
                              SQLITE_TRANSIENT);
        }
        else {
            sqlite3_bind_null(prepared, index);
        }
    }
}

std::uint32_t column_type(sqlite3_stmt* prepared, int index)
{
    switch (sqlite3_column_type(prepared, index)) {
    case SQLITE_INTEGER:
        return type_oid::int8;
    case SQLITE_FLOAT:
        return type_oid::float8;
    default:
        return type_oid::text;
    }
}

void read_row(sqlite3_stmt* prepared, result_set& result)
{
    auto const count = sqlite3_column_count(prepared);
    result_row row;
    for (int i = 0; i < count; ++i) {
        if (result.rows.empty()) {
            result.columns[static_cast<std::size_t>(i)].type = column_type(prepared, i);
        }
        auto const* const text = reinterpret_cast<char const*>(sqlite3_column_text(prepared, i));
        row.push_back(text == nullptr ? parameter() : parameter(std::string(text)));
    }
    result.rows.push_back(std::move(row));
}

} // namespace

sql_outcome sql_outcome::failure(std::string sqlstate, std::string message)
{
    sql_outcome outcome;
    outcome.result_kind = kind::failed;
    outcome.sqlstate = std::move(sqlstate);
    outcome.message = std::move(message);
    return outcome;
}

sql_database::sql_database(std::string const& name)
{
    sqlite3* handle = nullptr;
    auto const uri = fmt::format("file:{}?vfs=memdb", name);
    auto const opened = sqlite3_open_v2(
        uri.c_str(), &handle,
        SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE | SQLITE_OPEN_URI | SQLITE_OPEN_NOMUTEX, nullptr);
    m_handle.reset(handle);
    VERIFY(opened == SQLITE_OK);
    constexpr int any_number_of_arguments = -1;
    sqlite3_create_function(handle, "current_setting", any_number_of_arguments, SQLITE_UTF8,
                            m_client_account.get(), current_setting, nullptr, nullptr);
}

sql_outcome sql_database::execute(statement const& request)
{
    auto const sql = to_sqlite_names(request.sql);
    sqlite3_stmt* prepared_handle = nullptr;
    auto const prepare_code = sqlite3_prepare_v2(m_handle.get(), sql.c_str(), -1, &prepared_handle, nullptr);
    prepared_statement const prepared(prepared_handle);
    if (prepare_code != SQLITE_OK) {
        return to_outcome(prepare_code);
    }
    if (!prepared) {
        return {};
    }
    bind_parameters(prepared.get(), request);
    sql_outcome outcome;
    for (int i = 0; i < sqlite3_column_count(prepared.get()); ++i) {
        outcome.result.columns.push_back({sqlite3_column_name(prepared.get(), i), type_oid::text});
    }
    int code = SQLITE_ROW;
    while ((code = sqlite3_step(prepared.get())) == SQLITE_ROW) {
        read_row(prepared.get(), outcome.result);
    }
    if (code != SQLITE_DONE) {
        return to_outcome(code);
    }
    outcome.has_written = sqlite3_stmt_readonly(prepared.get()) == 0;
    if (outcome.has_written) {
        outcome.result.affected_rows = sqlite3_changes(m_handle.get());
    }
    return outcome;
}

sql_outcome sql_database::to_outcome(int code) const
{
    if (code == SQLITE_BUSY || code == SQLITE_LOCKED) {
        sql_outcome outcome;
        outcome.result_kind = sql_outcome::kind::blocked;
        return outcome;
    }
    std::string const message = sqlite3_errmsg(m_handle.get());
    switch (sqlite3_extended_errcode(m_handle.get())) {
    case SQLITE_CONSTRAINT_PRIMARYKEY:
    case SQLITE_CONSTRAINT_UNIQUE:
        return sql_outcome::failure("23505", message);
    case SQLITE_CONSTRAINT_NOTNULL:
        return sql_outcome::failure("23502", message);
    case SQLITE_CONSTRAINT_CHECK:
        return sql_outcome::failure("23514", message);
    case SQLITE_CONSTRAINT_DATATYPE:
        return sql_outcome::failure("22P02", message);
    default:
        return sql_outcome::failure("42601", message);
    }
}

} // namespace greengagehitch::standin
