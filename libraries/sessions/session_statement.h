#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "base/enum_names.h"

namespace greengagehitch {

/// Kind of a caller's statement. The session answers some kinds without a database.
enum class statement_kind {
    begin,      ///< Starts a transaction that may write.
    begin_read, ///< Starts a transaction that only reads.
    commit,
    rollback,
    read,
    write,
    set_value,
    prepare,
    execute,
    deallocate,
    unknown,
};

inline constexpr std::array statement_kind_names{
    enum_name<statement_kind>{statement_kind::begin, "begin"},
    enum_name<statement_kind>{statement_kind::begin_read, "begin_read"},
    enum_name<statement_kind>{statement_kind::commit, "commit"},
    enum_name<statement_kind>{statement_kind::rollback, "rollback"},
    enum_name<statement_kind>{statement_kind::read, "read"},
    enum_name<statement_kind>{statement_kind::write, "write"},
    enum_name<statement_kind>{statement_kind::set_value, "set_value"},
    enum_name<statement_kind>{statement_kind::prepare, "prepare"},
    enum_name<statement_kind>{statement_kind::execute, "execute"},
    enum_name<statement_kind>{statement_kind::deallocate, "deallocate"},
    enum_name<statement_kind>{statement_kind::unknown, "unknown"},
};

/// Statement shape that a caller prepared under a name of the caller's choice.
struct prepared_shape {
    bool is_write = false;
    std::string shape;

    auto operator<=>(prepared_shape const&) const = default;
    MSGPACK_DEFINE(is_write, shape)
};

/// One statement of a session. The front end parses the text and fills in the other fields; the engine uses
/// these and does not parse the text.
struct session_statement {
    statement_kind kind = statement_kind::unknown;
    std::string id;          ///< Chosen by the caller; sent to the database unchanged.
    std::string text;        ///< Complete text as the caller sent it.
    std::string name;        ///< Name of a session value or a prepared statement.
    std::string argument;    ///< Value to set, or arguments of an execution.
    prepared_shape prepared; ///< Shape to prepare; used by the kind prepare only.
};

/// State of a session's transaction, which is reported to the caller with each answer.
enum class transaction_state { idle, open, failed };

} // namespace greengagehitch
