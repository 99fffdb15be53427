#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>

#include <absl/status/statusor.h>

#include "kernel/kernel.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Longest time after which the platform may still carry out an order that it did not answer.
inline constexpr duration max_order_delay = std::chrono::milliseconds(7'500);

/// Time since the last acquisition of the failover lock above which the lock is renewed before an order is
/// sent.
inline constexpr duration max_lock_age = std::chrono::milliseconds(1'400);

/// Receives the fence of an acquired lock. kAborted means that another VM holds the lock; any other error
/// means that the store did not confirm the write.
using lock_callback = std::function<void(absl::StatusOr<std::uint64_t>)>;

/// Last claim of a failover lock, as the store's row has it.
struct lock_claim {
    std::string holder;
    std::string member; ///< Member that the holder orders to lead.
    std::uint64_t fence = 0;
    std::int64_t claimed_at_ms = 0; ///< Time of the claim, by the store's clock.
    duration age{};                 ///< Time since the claim, by the store's clock.
    /// False while an order under this claim, or an earlier one, may have been sent and not been answered.
    bool is_settled = true;
    /// Whether the row says so. A claim of an earlier build says nothing of its orders.
    bool is_marked = true;
    /// Whether an order under an earlier claim may be outstanding, perhaps for another member.
    bool replaces_open = false;
};

/// Receives the last claim, or std::nullopt if the row is absent or cannot be decoded.
using claim_callback = std::function<void(absl::StatusOr<std::optional<lock_claim>>)>;

/// Lock for ordering promotions in a group, kept as a row in the platform's store. A conditional write
/// ensures that one VM holds it at a time. Its expiry is computed from timestamps of the store's clock.
class failover_lock {
public:
    failover_lock(kernel& kernel, platform_hooks const& platform) : m_kernel(kernel), m_platform(platform) {}

    /// Acquires the lock for `holder` in order to promote `member`, or renews it. The fence grows whenever
    /// the holder or the member changes, also when the store was restored and has lost earlier fences. After
    /// a restore, the lock is not given while a holder whose claim may be lost can still act. Unless the
    /// platform `checks_fences`, another holder does not get the lock for another member while an order of
    /// the previous holder may still be carried out.
    void acquire(std::string const& holder, std::string const& group, std::string const& member,
                 bool checks_fences, lock_callback done);

    /// Reads the last claim of the group's lock.
    void read(std::string const& group, claim_callback done);

    /// Marks the claim that was written last by this VM as settled. No order under it, or under an earlier
    /// claim, may be outstanding. Unless an order under it `was_answered`, nothing is known of the orders of
    /// the claim before it, so the row then stays open if that one was. A write that fails is not repeated:
    /// the next VM that reads the row has an order answered which was not necessary.
    void settle(std::string const& group, bool was_answered);

    /// True while a claim that the store lost when it was restored may still be valid. The lock is then given
    /// only if it was claimed since.
    bool may_have_lost_claims(bool checks_fences) const;

private:
    struct lock_row {
        std::string holder;
        std::string member;
        std::uint64_t fence = 0;
        std::int64_t claimed_at_ms = 0; ///< Time of the last acquisition, by the store's clock.
        /// Whether no order under the claim is outstanding. VMs of builds without the mark never write false.
        bool is_settled = true;
        bool is_marked = true; ///< Whether the row has the mark.
        /// Whether the claim has replaced one with another fence that was not settled.
        bool replaces_open = false;
    };

    /// Claim that this VM wrote last.
    struct written_claim {
        std::uint64_t version = 0;
        lock_row row;
        bool has_replaced_open = false; ///< Whether a claim that it has replaced was not settled.
    };

    /// Returns std::nullopt for a row that no VM can have written.
    static std::optional<lock_row> try_parse(table_row const& row);
    /// Returns the lock in the row. One that cannot be decoded counts as claimed by another VM when this VM
    /// first read it.
    lock_row parse(std::string const& group, table_row const& row);
    void write(std::string const& group, std::uint64_t version, lock_row const& row, bool has_replaced_open,
               lock_callback done);
    static std::string encode(lock_row const& row);

    struct unreadable_row {
        std::uint64_t version = 0;
        std::int64_t first_read_at_ms = 0; ///< By the store's clock.
    };

    kernel& m_kernel;
    platform_hooks const& m_platform;
    std::map<std::string, unreadable_row> m_unreadable; ///< Keyed by group.
    std::map<std::string, written_claim> m_written;     ///< Claims that are not settled, keyed by group.
};

} // namespace greengagehitch
