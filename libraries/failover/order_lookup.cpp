#include "failover/order_lookup.h"

#include <utility>
#include <vector>

#include "base/json.h"

namespace greengagehitch {

namespace {

/// Time for the store's answer, after which the members are asked.
constexpr duration store_answer_time = std::chrono::milliseconds(150);
constexpr std::uint32_t status_limit_ms = 200;
/// Placeholder account for requests that are not sent on behalf of a client account.
constexpr auto no_account = "-";

/// Returns whether no order under the claim, or an earlier one, can replace the leader any more.
bool is_clear_of(lock_claim const& claim, std::string const& leader)
{
    if (claim.is_settled || claim.age >= order_lapse_time) {
        return true;
    }
    // An order for the present leader changes nothing.
    return claim.member == leader && !claim.replaces_open;
}

} // namespace

struct order_lookup::search {
    std::string group;
    std::string leader;
    result_callback done; ///< Null once the result is known.
    bool is_asking_members = false;
    std::size_t unanswered = 0; ///< Number of members that have yet to answer.
};

void order_lookup::run(std::string const& group, std::string const& leader, result_callback done)
{
    auto const current = std::make_shared<search>(search{group, leader, std::move(done)});
    m_dependencies.lock.read(group, [this, current](absl::StatusOr<std::optional<lock_claim>> const& claim) {
        if (!current->done) {
            return;
        }
        if (!claim.ok()) {
            ask_members(current);
            return;
        }
        finish_with_claim(*current, *claim);
    });
    if (!current->done) {
        return;
    }
    auto const wait = m_dependencies.has_store() ? store_answer_time : duration::zero();
    m_dependencies.core.start_timer(wait, [this, current] {
        if (current->done) {
            ask_members(current);
        }
    });
}

void order_lookup::ask_members(std::shared_ptr<search> const& current)
{
    if (std::exchange(current->is_asking_members, true)) {
        return;
    }
    std::vector<member_entry> others;
    for (auto const& [id, member] : m_dependencies.groups.group(current->group).members()) {
        if (id != current->leader) {
            others.push_back(member.entry);
        }
    }
    current->unanswered = others.size();
    if (others.empty() || m_dependencies.knows_order(current->group)) {
        finish(*current, {}, "members");
        return;
    }
    for (auto const& member : others) {
        member_request request;
        request.client_account = no_account;
        request.needs_slot = false;
        request.time_limit_ms = status_limit_ms;
        request.queue_limit_ms = status_limit_ms;
        request.commands.resize(1);
        request.commands[0].kind = command_kind::status;
        m_dependencies.brokers.run(member, std::move(request), [this, current](member_reply const& reply) {
            if (!current->done) {
                return;
            }
            auto const& status = reply.answers.front().replication;
            auto const receives = reply.answers.front().is_ok() && status &&
                                  status->role == member_role::replica && status->stopped_at_term == 0;
            --current->unanswered;
            if (!receives || current->unanswered == 0) {
                finish(*current, {receives, std::nullopt}, "members");
            }
        });
    }
}

void order_lookup::finish_with_claim(search& current, std::optional<lock_claim> const& claim)
{
    if (!claim) {
        finish(current, {true, promotion_guard::claim_id{}}, "store");
        return;
    }
    Json::Value fields(Json::objectValue);
    fields["holder"] = claim->holder;
    fields["member"] = claim->member;
    fields["fence"] = Json::UInt64(claim->fence);
    fields["age_ms"] = to_milliseconds(claim->age);
    fields["is_settled"] = claim->is_settled;
    promotion_guard::lookup_result const result{is_clear_of(*claim, current.leader),
                                                promotion_guard::claim_id{claim->fence, claim->claimed_at_ms},
                                                claim->age, claim->member != current.leader};
    finish(current, result, "store", std::move(fields));
}

void order_lookup::finish(search& current, promotion_guard::lookup_result const& result,
                          std::string_view source, Json::Value fields)
{
    fields["group"] = current.group;
    fields["leader"] = current.leader;
    fields["source"] = std::string(source);
    fields["is_clear"] = result.is_clear;
    m_dependencies.core.log(log_level::info, "takeover",
                            "looked for an order that may replace the leader of the group",
                            std::move(fields));
    std::exchange(current.done, nullptr)(result);
}

} // namespace greengagehitch
