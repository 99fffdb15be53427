#include "failover/failover_lock.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <utility>

#include "base/json.h"

namespace greengagehitch {

namespace {

/// Time after the last acquisition for which no other VM can acquire the lock. The platform forbids two
/// holders to act within three seconds of each other; the remaining time covers orders in flight.
constexpr std::int64_t lock_lifetime_ms = 4'500;

/// Time after the last acquisition until which the platform may carry out an order of the holder.
constexpr duration late_order_time = max_lock_age + max_order_delay;

/// Fences consist of an era and, in this number of lower bits, of a version.
constexpr unsigned fence_version_bits = 32;
/// Fences above this are no VM's: they would overflow when they grow.
constexpr std::uint64_t max_fence = std::numeric_limits<std::int64_t>::max();
/// Stands for the holder of a lock that cannot be decoded. No VM has this name.
constexpr auto unknown_holder = "?";

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

std::optional<failover_lock::lock_row> failover_lock::try_parse(table_row const& row)
{
    auto const root = try_parse_json(row.value);
    if (!root.ok()) {
        return std::nullopt;
    }
    auto const holder = find_string(*root, "holder");
    auto const member = find_string(*root, "member");
    auto const fence = find_unsigned(*root, "fence");
    auto const claimed_at_ms = find_unsigned(*root, "claimed_at_ms");
    if (!holder || holder->empty() || !member || !fence || *fence > max_fence || !claimed_at_ms ||
        *claimed_at_ms > static_cast<std::uint64_t>(std::max<std::int64_t>(row.read_at_ms, 0))) {
        return std::nullopt;
    }
    auto const& is_settled = (*root)["is_settled"];
    auto const& replaces_open = (*root)["replaces_open"];
    return lock_row{*holder,
                    *member,
                    *fence,
                    static_cast<std::int64_t>(*claimed_at_ms),
                    !is_settled.isBool() || is_settled.asBool(),
                    is_settled.isBool(),
                    !replaces_open.isBool() || replaces_open.asBool()};
}

failover_lock::lock_row failover_lock::parse(std::string const& group, table_row const& row)
{
    if (row.version == 0) {
        return {};
    }
    if (auto const known = try_parse(row)) {
        return *known;
    }
    auto& unreadable = m_unreadable[group];
    if (unreadable.version != row.version) {
        unreadable = {row.version, row.read_at_ms};
        Json::Value fields(Json::objectValue);
        fields["group"] = group;
        fields["version"] = Json::UInt64(row.version);
        m_kernel.log(log_level::warning, "takeover",
                     "failover lock cannot be decoded; it counts as held by another VM for its lifetime",
                     std::move(fields));
    }
    return {unknown_holder, {}, first_fence_of_era(row), unreadable.first_read_at_ms, false, true, true};
}

bool failover_lock::may_have_lost_claims(bool checks_fences) const
{
    auto const restored_at = m_platform.restored_at ? m_platform.restored_at() : std::nullopt;
    auto const lifetime =
        checks_fences ? duration(std::chrono::milliseconds(lock_lifetime_ms)) : late_order_time;
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
        auto const known = parse(group, row);
        auto const written = m_written.find(group);
        auto const has_replaced_open = written != m_written.end() && written->second.version == row.version
                                           ? written->second.has_replaced_open
                                           : !known.is_settled;
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
            std::chrono::milliseconds(row.read_at_ms - known.claimed_at_ms) < late_order_time) {
            done(absl::AbortedError("an order of the previous holder may still be carried out"));
            return;
        }
        // The row's version makes the fence unique within the era, and the era makes it exceed those that the
        // store has lost.
        auto const fence = is_own_lock && is_claim_of_era && known.member == member
                               ? known.fence
                               : std::max(known.fence + 1, first_fence_of_era(row) | row.version);
        auto const replaces_open = !known.is_settled && (known.fence != fence || known.replaces_open);
        write(group, row.version, {holder, member, fence, row.read_at_ms, false, true, replaces_open},
              has_replaced_open, done);
    };
    m_platform.read_row(row_key(group),
                        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(std::move(handle_row)));
}

std::string failover_lock::encode(lock_row const& row)
{
    Json::Value value(Json::objectValue);
    value["holder"] = row.holder;
    value["member"] = row.member;
    value["fence"] = Json::UInt64(row.fence);
    value["claimed_at_ms"] = Json::Int64(row.claimed_at_ms);
    value["is_settled"] = row.is_settled;
    value["replaces_open"] = row.replaces_open;
    return to_json_line(value);
}

void failover_lock::write(std::string const& group, std::uint64_t version, lock_row const& row,
                          bool has_replaced_open, lock_callback done)
{
    Json::Value fields(Json::objectValue);
    fields["holder"] = row.holder;
    fields["member"] = row.member;
    fields["fence"] = Json::UInt64(row.fence);
    fields["claimed_at_ms"] = Json::Int64(row.claimed_at_ms);
    fields["group"] = group;
    fields["read_version"] = Json::UInt64(version);
    auto handle_answer = [this, group, row, has_replaced_open, fields = std::move(fields),
                          done = std::move(done)](absl::StatusOr<std::uint64_t> const& put) {
        if (put.ok()) {
            m_written[group] = {*put, row, has_replaced_open};
            m_kernel.log(log_level::info, "takeover", "failover lock was acquired", fields);
            done(row.fence);
        }
        else {
            done(put.status());
        }
    };
    m_platform.put_row(row_key(group), version, encode(row),
                       m_kernel.guard<absl::StatusOr<std::uint64_t>>(std::move(handle_answer)));
}

void failover_lock::read(std::string const& group, claim_callback done)
{
    auto handle_row = [this, group,
                       done = std::move(done)](absl::StatusOr<std::optional<table_row>> const& read) {
        if (!read.ok()) {
            done(read.status());
            return;
        }
        auto const row = read->value_or(table_row{});
        auto const claim = row.version == 0 ? std::nullopt : try_parse(row);
        if (!claim) {
            done(std::optional<lock_claim>());
            return;
        }
        lock_claim const found{claim->holder,
                               claim->member,
                               claim->fence,
                               claim->claimed_at_ms,
                               std::chrono::milliseconds(row.read_at_ms - claim->claimed_at_ms),
                               claim->is_settled,
                               claim->is_marked,
                               claim->replaces_open};
        Json::Value fields(Json::objectValue);
        fields["group"] = group;
        fields["holder"] = found.holder;
        fields["member"] = found.member;
        fields["fence"] = Json::UInt64(found.fence);
        fields["age_ms"] = to_milliseconds(found.age);
        fields["is_settled"] = found.is_settled;
        m_kernel.log(log_level::info, "takeover", "read the last claim of the failover lock",
                     std::move(fields));
        done(std::optional(found));
    };
    m_platform.read_row(row_key(group),
                        m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(std::move(handle_row)));
}

void failover_lock::settle(std::string const& group, bool was_answered)
{
    auto const found = m_written.find(group);
    if (found == m_written.end() || (found->second.has_replaced_open && !was_answered)) {
        return;
    }
    auto const [version, claim, has_replaced_open] = std::move(found->second);
    m_written.erase(found);
    auto row = claim;
    row.is_settled = true;
    m_platform.put_row(
        row_key(group), version, encode(row),
        m_kernel.guard<absl::StatusOr<std::uint64_t>>([this, group, fence = row.fence](auto const& put) {
            Json::Value fields(Json::objectValue);
            fields["group"] = group;
            fields["fence"] = Json::UInt64(fence);
            fields["result"] = put.ok() ? "written" : std::string(put.status().message());
            m_kernel.log(log_level::info, "takeover", "claim of the failover lock is settled",
                         std::move(fields));
        }));
}

} // namespace greengagehitch
