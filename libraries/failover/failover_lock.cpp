#include "failover/failover_lock.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/json.h"

namespace greengagehitch {

namespace {

/// Time after the last acquisition for which no other VM can acquire the lock. The platform forbids two
/// holders to act within three seconds of each other; the remaining time covers orders in flight.
constexpr std::int64_t lock_lifetime_ms = 4'500;

/// Fences consist of an era and, in this number of lower bits, of a version.
constexpr unsigned fence_version_bits = 32;

/// Lowest fence of the era in which a row was read.
std::uint64_t first_fence_of_era(table_row const& row)
{
    return row.era << fence_version_bits;
}

std::string row_key(std::string const& group)
{
    return "takeover/" + group;
}

} // namespace

failover_lock::lock_row failover_lock::parse(table_row const& row)
{
    lock_row parsed;
    auto const root = try_parse_json(row.value);
    if (row.version != 0 && root.ok() && root->isObject()) {
        parsed.holder = (*root)["holder"].asString();
        parsed.member = (*root)["member"].asString();
        parsed.fence = (*root)["fence"].asUInt64();
        parsed.claimed_at_ms = (*root)["claimed_at_ms"].asInt64();
    }
    return parsed;
}

bool failover_lock::may_have_lost_claims(bool checks_fences) const
{
    auto const restored_at = m_platform.restored_at ? m_platform.restored_at() : std::nullopt;
    auto const lifetime =
        checks_fences ? duration(std::chrono::milliseconds(lock_lifetime_ms)) : max_order_delay;
    return restored_at && m_kernel.now() - *restored_at < lifetime;
}

void failover_lock::acquire(std::string const& holder, std::string const& group, std::string const& member,
                            bool checks_fences, lock_callback done)
{
    auto handle_row = [this, holder, group, member, checks_fences,
                       done = std::move(done)](absl::StatusOr<std::optional<table_row>> const& read) {
        if (!read.ok()) {
            done(read.status());
            return;
        }
        auto const row = read->value_or(table_row{});
        auto const known = parse(row);
        auto const is_own_lock = known.holder == holder;
        auto const is_claim_of_era = known.fence >= first_fence_of_era(row);
        if (!is_claim_of_era && may_have_lost_claims(checks_fences)) {
            done(absl::AbortedError("the store may have lost the claim of another holder"));
            return;
        }
        if (!is_own_lock && !known.holder.empty() &&
            row.read_at_ms - known.claimed_at_ms < lock_lifetime_ms) {
            done(absl::AbortedError("another VM holds the failover lock"));
            return;
        }
        auto const has_other_order =
            !checks_fences && !is_own_lock && !known.member.empty() && known.member != member;
        if (has_other_order &&
            std::chrono::milliseconds(row.read_at_ms - known.claimed_at_ms) < max_order_delay) {
            done(absl::AbortedError("an order of the previous holder may still be carried out"));
            return;
        }
        // The row's version makes the fence unique within the era, and the era makes it exceed those that the
        // store has lost.
        auto const fence = is_own_lock && is_claim_of_era && known.member == member
                               ? known.fence
                               : std::max(known.fence + 1, first_fence_of_era(row) | row.version);
        write(group, row.version, {holder, member, fence, row.read_at_ms}, done);
    };
    m_platform.read_row(row_key(group),
                        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(std::move(handle_row)));
}

void failover_lock::write(std::string const& group, std::uint64_t version, lock_row const& row,
                          lock_callback done)
{
    Json::Value value(Json::objectValue);
    value["holder"] = row.holder;
    value["member"] = row.member;
    value["fence"] = Json::UInt64(row.fence);
    value["claimed_at_ms"] = Json::Int64(row.claimed_at_ms);
    Json::Value fields(value);
    fields["group"] = group;
    fields["read_version"] = Json::UInt64(version);
    auto handle_answer = [this, fence = row.fence, fields = std::move(fields),
                          done = std::move(done)](absl::StatusOr<std::uint64_t> const& put) {
        if (put.ok()) {
            m_kernel.log(log_level::info, "takeover", "failover lock was acquired", fields);
            done(fence);
        }
        else {
            done(put.status());
        }
    };
    m_platform.put_row(row_key(group), version, to_json_line(value),
                       m_kernel.guard<absl::StatusOr<std::uint64_t>>(std::move(handle_answer)));
}

} // namespace greengagehitch
