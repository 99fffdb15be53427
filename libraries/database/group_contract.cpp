#include "database/group_contract.h"

#include <charconv>

#include <fmt/format.h>

namespace greengagehitch::group_contract {

namespace {

constexpr std::size_t status_columns = 7;
constexpr std::size_t outcome_columns = 3;

std::optional<std::uint64_t> parse_number(parameter const& field)
{
    if (!field) {
        return std::nullopt;
    }
    std::uint64_t value = 0;
    auto const* const end = field->data() + field->size();
    auto const parsed = std::from_chars(field->data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
        return std::nullopt;
    }
    return value;
}

} // namespace

statement status(std::string marker)
{
    return {"select term, role, received_term, received_position, applied_term, applied_position, marker "
            "from database_group.status($1)",
            {std::move(marker)}};
}

std::optional<member_status> parse_status(result_set const& result)
{
    if (result.rows.size() != 1 || result.rows.front().size() != status_columns) {
        return std::nullopt;
    }
    auto const& row = result.rows.front();
    auto const term = parse_number(row[0]);
    auto const role = find_value(member_role_names, row[1].value_or(""));
    auto const received_term = parse_number(row[2]);
    auto const received_position = parse_number(row[3]);
    auto const applied_term = parse_number(row[4]);
    auto const applied_position = parse_number(row[5]);
    if (!term || !role || !received_term || !received_position || !applied_term || !applied_position) {
        return std::nullopt;
    }
    return member_status{*term,
                         *role,
                         {*received_term, *received_position},
                         {*applied_term, *applied_position},
                         row[6].value_or("")};
}

statement fence(std::uint64_t term, std::string const& claimant)
{
    return {"select granted from database_group.fence($1, $2)", {fmt::to_string(term), claimant}};
}

statement promote(std::uint64_t term, std::string const& claimant)
{
    return {"select granted from database_group.promote($1, $2)", {fmt::to_string(term), claimant}};
}

statement follow(std::uint64_t term, std::string const& primary)
{
    return {"select granted from database_group.follow($1, $2)", {fmt::to_string(term), primary}};
}

bool is_granted(result_set const& result)
{
    return result.rows.size() == 1 && !result.rows.front().empty() && result.rows.front().front() == "t";
}

statement begin_read()
{
    return {"begin read only", {}};
}

statement begin_write()
{
    return {"begin read write", {}};
}

statement commit()
{
    return {"commit", {}};
}

statement rollback()
{
    return {"rollback", {}};
}

statement reset()
{
    return {"discard all", {}};
}

statement set_client_account(std::string const& client_account)
{
    return {"select set_config('greengagehitch.client_account', $1, true)", {client_account}};
}

statement insert_outcome(std::string const& client_account, std::string const& request_id,
                         outcome_state state, std::string const& fingerprint)
{
    return {"insert into database_group.outcomes (client_account, request_id, state, fingerprint) "
            "values ($1, $2, $3, $4)",
            {client_account, request_id, std::string(find_name(outcome_state_names, state)), fingerprint}};
}

statement complete_outcome(std::string const& client_account, std::string const& request_id,
                           std::string const& answer)
{
    return {"update database_group.outcomes set state = 'done', answer = $3 "
            "where client_account = $1 and request_id = $2",
            {client_account, request_id, answer}};
}

statement find_outcome(std::string const& client_account, std::string const& request_id)
{
    return {"select state, fingerprint, answer from database_group.outcomes "
            "where client_account = $1 and request_id = $2",
            {client_account, request_id}};
}

std::optional<outcome_record> parse_outcome(result_set const& result)
{
    if (result.rows.size() != 1 || result.rows.front().size() != outcome_columns) {
        return std::nullopt;
    }
    auto const& row = result.rows.front();
    auto const state = find_value(outcome_state_names, row[0].value_or(""));
    if (!state) {
        return std::nullopt;
    }
    return outcome_record{*state, row[1].value_or(""), row[2].value_or("")};
}

} // namespace greengagehitch::group_contract
