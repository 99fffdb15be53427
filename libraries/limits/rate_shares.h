#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "wire/name_hash.h"

namespace greengagehitch {

/// Part of a client account's rate that one VM may use. The rate is divided first among availability zones,
/// by the demands that their reports name, then among the VMs of the zone, by the demands that these publish;
/// all VMs compute from the same figures, so that the parts make a whole. Of each zone's part most is left to
/// one VM there, the account's zone home, which lends to its neighbours; a part of the whole is left to the
/// account's home for all. An account whose stock is too small to be divided so far stays with the homes
/// alone. VMs that are not heard keep equal parts, and a VM takes no more than that for them.
class rate_division {
public:
    using demands_map = std::map<name_hash, double>;

    /// Forgets all demands and sets the size of the fleet, this VM included.
    void reset(std::size_t fleet_size);

    /// Adds this VM's or a heard VM's published demand, of its own zone, by client account.
    void add_own_demands(demands_map const& demands);
    void add_zone_peer(demands_map const& demands);
    /// Sets the own zone's demands as they were last reported to other zones.
    void set_reported_zone_demands(demands_map const& demands) { m_reported_zone_demands = demands; }
    /// Adds another zone that is heard and hears this one, with its number of VMs.
    void add_other_zone(std::size_t vms, demands_map const& demands);

    /// What a VM is to an account.
    struct lender_role {
        bool is_fleet_lender = false;
        bool is_zone_lender = false;
    };

    /// Part of the account's rate in [0, 1] at this VM. `stock` is what the account may have at once, over
    /// the fleet.
    double share_of(std::string const& client_account, double stock, lender_role lender_role) const;

private:
    double fleet_lender_share_of(double stock) const;
    double zone_lender_share_of(double stock) const;
    /// Zone's part of what all zones that are heard share, and this VM's part of what its zone shares.
    double zone_share(name_hash account) const;
    double vm_share(name_hash account) const;

    std::size_t m_fleet_size = 1;
    std::size_t m_zone_peer_count = 0;
    std::size_t m_other_zones_vm_count = 0; ///< VMs of other zones.
    std::size_t m_other_zones_count = 0;
    demands_map m_own_demands;
    demands_map m_zone_demands;
    std::optional<demands_map> m_reported_zone_demands;
    demands_map m_other_zones_demands;
};

/// How operations are counted: over any span of `window`, an account may have rate x window + burst of them,
/// and so much more that counting at many places may miss.
struct rate_counting {
    duration window = std::chrono::seconds(5);
    double tolerated_share = 0.1;     ///< Of what the window allows.
    double tolerated_operations = 20; ///< In a window, besides.
};

/// Called with nothing when an operation is admitted, otherwise with the time after which a token is
/// expected.
using admission_callback = std::function<void(std::optional<duration>)>;

/// Admits operations within the rate and burst of their client account over the whole fleet. Each VM holds a
/// part of the rate; where its tokens run out, it asks the peers that published the largest stock. Tokens
/// are subtracted before they are sent, so that none is ever used twice.
class rate_shares : public service {
public:
    static constexpr std::string_view service_name = "rate_shares";

    rate_shares(kernel& kernel, rate_counting counting) : m_kernel(kernel), m_counting(counting) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Takes one operation of the account. Calls back at once, or after asking peers.
    void take(std::string const& client_account, admission_callback done);

    /// Demands to publish now. Called once a report period; what it returns counts from the next period on.
    std::vector<account_demand> publish(duration period);

    /// Divides the rates anew, since other VMs are heard than before.
    void divide();

    /// Sets for how long a peer that has reported is counted on.
    void set_report_lifetime(duration lifetime) { m_report_lifetime = lifetime; }

    /// Takes in the report of a VM of this zone.
    void handle_vm_report(std::string const& peer, vm_report const& report);

    /// Takes in the report of a zone, this one's own included. `vms` are the names of those that it holds.
    void handle_zone_report(zone_report const& report, std::vector<std::string> const& vms);

    /// Demands of all VMs of this zone that are heard, as they were published.
    std::vector<zone_demand> zone_demands() const;

private:
    struct waiting_operation {
        monotonic_time since;
        admission_callback done;
    };

    struct bucket {
        double tokens = 0;
        monotonic_time updated;
        std::size_t arrivals = 0; ///< Since the last publication.
        double demand = 0;        ///< Operations in a second, smoothed.
        double published = 0;
        double share = 0;         ///< Of the account's rate.
        std::string fleet_lender; ///< VM that lends to all others.
        std::string zone_lender;  ///< VM that lends to those of its zone.
        std::deque<waiting_operation> waiting;
        std::map<std::uint64_t, std::string> requests; ///< Peers that were asked and have not answered.
        monotonic_time last_request_at;                ///< When the last of them was asked.
        bool has_asked_fleet_lender = false;           ///< In this round; the zone is asked first.
        monotonic_time no_request_before;              ///< After a round that brought nothing.
        monotonic_time no_fleet_lender_request_before; ///< After the home had nothing to give.
    };

    struct zone_state {
        std::vector<std::string> vms;
        std::map<name_hash, double> demands;
        bool receives_from_us = false;
        monotonic_time received_at;
    };

    struct peer_demands {
        std::map<name_hash, double> demands;
        std::map<name_hash, std::uint32_t> tokens; ///< Stock that the peer published.
        bool receives_from_us = false;
        monotonic_time received_at;
    };

    double share_of(std::string const& client_account, bucket const& bucket) const;
    std::string choose_fleet_lender(std::string const& client_account) const;
    std::string choose_zone_lender(std::string const& client_account) const;
    std::vector<std::string> zone_peers_in_contact() const;
    bool is_in_contact(std::string const& peer) const;
    bool is_in_contact(zone_state const& zone) const;
    bucket& bucket_of(std::string const& client_account);
    /// Operations in a second that an account may keep up, over the fleet.
    double sustained_rate(account_limit const& limit) const;
    /// Operations that an account may have at once beyond its lasting rate, over the fleet.
    double max_stock(account_limit const& limit) const;
    void refill(bucket& bucket, account_limit const& limit, monotonic_time now) const;
    bool ask_peers(std::string const& client_account, bucket& bucket);
    bool ask_zone_peers(std::string const& client_account, bucket& bucket);
    bool ask_fleet_lender(std::string const& client_account, bucket& bucket);
    void request_tokens(std::string const& lender, std::string const& client_account, bucket& bucket,
                        double horizon);
    void handle_token_request(std::string const& peer, token_request const& request);
    void handle_grant(std::string const& peer, token_grant const& grant);
    void serve_waiting(std::string const& client_account, bucket& bucket);
    void refuse_waiting(std::string const& client_account, bucket& bucket);
    /// Refuses the operations that have waited as long as they may.
    void refuse_overdue(std::string const& client_account, bucket& bucket);
    void log_refusal(std::string const& client_account, bucket const& bucket, std::size_t refused) const;
    duration time_to_token(std::string const& client_account, bucket const& bucket) const;

    kernel& m_kernel;
    rate_counting m_counting;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, bucket> m_buckets;
    std::map<std::string, peer_demands> m_peers; ///< Of this zone.
    std::map<std::string, zone_state> m_zones;   ///< By availability zone.
    duration m_report_lifetime = std::chrono::seconds(3);
    rate_division m_division;
    monotonic_time m_started_at;
    std::uint64_t m_next_number = 1;
};

} // namespace greengagehitch
