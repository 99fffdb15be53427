#pragma once

#include <array>
#include <cstdint>
#include <string>

#include <msgpack.hpp>

#include "base/enum_names.h"

namespace greengagehitch {

/// What a caller's statement asks of its session or of a database.
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

/// Shape that a caller prepared under a name of its own.
struct prepared_shape {
    bool is_write = false;
    std::string shape;

    auto operator<=>(prepared_shape const&) const = default;
    MSGPACK_DEFINE(is_write, shape)
};

/// One statement of a session, with its text opaque. The front end that read it fills in what the engine
/// decides by.
struct session_statement {
    statement_kind kind = statement_kind::unknown;
    std::string id;          ///< The caller's; travels to the database unchanged.
    std::string text;        ///< Whole text as the caller sent it.
    std::string name;        ///< Of a value or a prepared statement.
    std::string argument;    ///< Value to set, or arguments of an execution.
    prepared_shape prepared; ///< For prepare.
};

/// Where a session stands, as callers are told after each answer.
enum class transaction_state { idle, open, failed };

} // namespace greengagehitch
