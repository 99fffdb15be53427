#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "wire/peer_messages.h"

namespace greengagehitch {

/// Part of a client account's rate that one VM may use, computed from demands that all VMs publish. VMs that
/// hear each other divide by demand; one that is not heard keeps an equal part, and takes no more than that
/// itself. A VM uses its own demand only as it was published, so that all compute from the same figures.
class rate_division {
public:
    /// Forgets all demands and sets the size of the fleet, this VM included.
    void reset(std::size_t fleet_size);

    /// Adds this VM's or a heard peer's published demand, by client account.
    void add_own(std::map<std::string, double> const& demands);
    void add_peer(std::map<std::string, double> const& demands);

    /// Part of the account's rate in [0, 1].
    double part_of(std::string const& client_account) const;

private:
    std::size_t m_fleet_size = 1;
    std::size_t m_heard = 1;
    std::map<std::string, double> m_own;
    std::map<std::string, double> m_total;
};

/// Admits operations within the rate and burst of their client account over the whole fleet.
class rate_shares : public service {
public:
    static constexpr std::string_view service_name = "rate_shares";

    explicit rate_shares(kernel& kernel) : m_kernel(kernel) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Takes one operation of the account. Returns nothing when it is admitted, otherwise the time after
    /// which a token is expected.
    std::optional<duration> take(std::string const& client_account);

    /// Demands to publish now. Called once a report period; what it returns counts from the next period on.
    std::vector<account_demand> publish(duration period);

    /// Takes in a peer's report.
    void take_report(std::string const& peer, vm_report const& report);

    /// This VM's part of all operations of the fleet, by published demand; empty while nothing is known.
    std::optional<double> part_of_all() const;

private:
    struct bucket {
        double tokens = 1;
        monotonic_time updated;
        std::size_t arrivals = 0; ///< Since the last publication.
        double demand = 0;        ///< Operations in a second, smoothed.
        double published = 0;
        double part = 0;          ///< Of the account's rate.
    };

    struct peer_demands {
        std::map<std::string, double> demands;
        bool hears_us = false;
        monotonic_time heard_at;
    };

    bucket& bucket_of(std::string const& client_account);
    static void refill(bucket& bucket, account_limit const& limit, monotonic_time now);
    void divide();

    kernel& m_kernel;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, bucket> m_buckets;
    std::map<std::string, peer_demands> m_peers;
    rate_division m_division;
};

} // namespace greengagehitch
