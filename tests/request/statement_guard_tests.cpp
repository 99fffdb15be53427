#include <criterion/criterion.h>

#include "request/statement_guard.h"

using greengagehitch::find_forbidden;
using greengagehitch::fingerprint_of;

Test(statement_guard, data_statements_are_allowed)
{
    cr_assert(not(find_forbidden({"select 1", {}}).has_value()));
    cr_assert(
        not(find_forbidden({"  /* note */ -- more\n WITH x AS (select 1) select * from x", {}}).has_value()));
    cr_assert(not(find_forbidden({"insert into t values ($1)", {"commit"}}).has_value()));
}

Test(statement_guard, statements_that_leave_the_transaction_are_refused)
{
    for (auto const* const sql :
         {"commit", "COMMIT", "begin", "rollback", "end", "abort", "savepoint a", "set role x",
          "/* select */ commit", "--select\ncommit", "", "copy t from stdin", "do $$ $$"}) {
        cr_assert(find_forbidden({sql, {}}).has_value(), "%s", sql);
    }
}

Test(statement_guard, statements_that_change_the_client_account_are_refused)
{
    cr_assert(find_forbidden({"select SET_CONFIG('greengagehitch.client_account', 'other', true)", {}})
                  .has_value());
    cr_assert(find_forbidden({"select * from database_group.fence(9, 'me')", {}}).has_value());
    cr_assert(find_forbidden({"select U&\"\\0073et_config\"('a', 'b', true)", {}}).has_value());
}

Test(statement_guard, fingerprint_differs_between_requests)
{
    auto const first = fingerprint_of("a", {{"select $1", {"xy"}}});
    cr_assert(first == fingerprint_of("a", {{"select $1", {"xy"}}}));
    cr_assert(first != fingerprint_of("b", {{"select $1", {"xy"}}}));
    cr_assert(first != fingerprint_of("a", {{"select $1", {"x", "y"}}}));
    cr_assert(first != fingerprint_of("a", {{"select $1", {greengagehitch::parameter()}}}));
}

/// Guards against a statement that a database runs although it is refused: databases differ on whether a
/// carriage return ends a line comment and whether block comments nest, so one of them takes for a statement
/// what another one takes for a part of the comment.
Test(statement_guard, statement_behind_a_comment_with_an_ambiguous_end_is_refused)
{
    for (auto const* const sql :
         {"--\rset role other/*\nselect 1*/", "--\rcommit/*\nselect 1*/", "--\r/*\ncommit/**/select 1",
          "-- a\rselect 1\nselect 2", "-- a\r", "/* /* */ select */ commit", "/*/*/ select 1"}) {
        cr_expect(find_forbidden({sql, {}}).has_value(), "%s", sql);
    }
    for (auto const* const sql : {"-- a\r\nselect 1", "-- a\n-- b\nselect 1", "/* a\r\n */select 1"}) {
        cr_expect(not(find_forbidden({sql, {}}).has_value()), "%s", sql);
    }
}
