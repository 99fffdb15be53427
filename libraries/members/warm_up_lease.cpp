#include "members/warm_up_lease.h"

#include <algorithm>
#include <utility>

#include "base/json.h"

namespace greengagehitch {

namespace {

/// Time between the end of a lease at its holder and the first request of the next one. It covers the window
/// in which requests are counted, and requests on their way.
constexpr duration lease_margin = std::chrono::milliseconds(1'500);

struct lease_row {
    std::string holder;
    std::int64_t ends_at_ms = 0; ///< By the store's clock.
};

lease_row parse(table_row const& row)
{
    lease_row parsed;
    auto const root = try_parse_json(row.value);
    if (row.version != 0 && root.ok() && root->isObject() && (*root)["holder"].isString() &&
        (*root)["ends_at_ms"].isInt64()) {
        parsed.holder = (*root)["holder"].asString();
        parsed.ends_at_ms = (*root)["ends_at_ms"].asInt64();
    }
    return parsed;
}

} // namespace

void warm_up_lease::claim(std::string const& holder, std::string const& address, duration lifetime,
                          claim_callback done)
{
    auto const key = "warm-up/" + address;
    auto const asked_at = m_kernel.now();
    auto const restored_at = m_platform.restored_at ? m_platform.restored_at() : std::nullopt;
    if (restored_at && asked_at - *restored_at < lifetime + lease_margin) {
        // The store may have lost the lease of another VM.
        m_kernel.start_timer(duration::zero(), [done = std::move(done)] { done(std::nullopt); });
        return;
    }
    auto handle_row = [this, holder, key, lifetime, asked_at,
                       done = std::move(done)](absl::StatusOr<std::optional<table_row>> const& read) {
        auto const row = read.ok() ? read->value_or(table_row{}) : table_row{};
        auto const known = parse(row);
        if (!read.ok() || (known.holder != holder && row.read_at_ms < known.ends_at_ms)) {
            done(std::nullopt);
            return;
        }
        auto const ends_at_ms =
            row.read_at_ms +
            std::chrono::duration_cast<std::chrono::milliseconds>(lifetime + lease_margin).count();
        Json::Value value(Json::objectValue);
        value["holder"] = holder;
        value["ends_at_ms"] = Json::Int64(std::max(ends_at_ms, known.ends_at_ms));
        auto handle_write = [done, ends_at = asked_at + lifetime](absl::StatusOr<std::uint64_t> const& put) {
            done(put.ok() ? std::optional(ends_at) : std::nullopt);
        };
        m_platform.put_row(key, row.version, to_json_line(value),
                           m_kernel.guard<absl::StatusOr<std::uint64_t>>(std::move(handle_write)));
    };
    m_platform.read_row(key, m_kernel.guard<absl::StatusOr<std::optional<table_row>>>(std::move(handle_row)));
}

} // namespace greengagehitch
