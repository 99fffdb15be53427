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
#include "limits/lender_choice.h"
#include "membership/membership_service.h"
#include "wire/name_hash.h"

namespace greengagehitch {

/// Computes the share of a client account's rate that this VM may use.
///
/// The rate is divided among the availability zones in proportion to the demands in their reports, then among
/// the VMs of each zone in proportion to the demands that they publish. All VMs compute their shares from the
/// same reported demands, so the shares sum to one. One VM of each zone, the account's zone lender, holds an
/// extra portion of the zone's share and lends it to its zone peers; one VM of the fleet, the account's fleet
/// lender, holds a portion of the whole rate for all VMs. When the bucket capacity of an account is too
/// small to be divided further, the lenders hold all of it. A VM without contact is assumed to use an equal
/// share of the rate, so the VMs in contact divide only the remainder.
class rate_division {
public:
    using demands_map = std::map<name_hash, double>;

    /// Clears all demands and sets the number of VMs in the fleet, including this one.
    void reset(std::size_t fleet_size);

    /// Adds the demands that this VM has published, keyed by client account.
    void add_own_demands(demands_map const& demands);
    /// Adds the demands that another VM of this zone, which is in contact, has published.
    void add_zone_peer(demands_map const& demands);
    /// Sets the demands of this zone as they were last reported to the other zones.
    void set_reported_zone_demands(demands_map const& demands) { m_reported_zone_demands = demands; }
    /// Adds another zone that is in contact with this one, with its number of VMs.
    void add_other_zone(std::size_t vms, demands_map const& demands);

    /// Whether this VM lends tokens of an account to other VMs.
    struct lender_role {
        bool is_fleet_lender = false;
        bool is_zone_lender = false;
    };

    /// Returns the share of the account's rate for this VM, in [0, 1]. `capacity` is the number of tokens
    /// that the buckets of the account may hold in the whole fleet.
    double share_of(std::string const& client_account, double capacity, lender_role lender_role) const;

private:
    double fleet_lender_share_of(double capacity) const;
    double zone_lender_share_of(double capacity) const;
    /// Returns this zone's share of the rate that the zones in contact divide among them.
    double zone_share(name_hash account) const;
    /// Returns this VM's share of the rate that the VMs of its zone divide among them.
    double vm_share(name_hash account) const;

    std::size_t m_fleet_size = 1;
    std::size_t m_zone_peer_count = 0;
    std::size_t m_other_zones_vm_count = 0; ///< Number of VMs in the other zones that are in contact.
    std::size_t m_other_zones_count = 0;
    demands_map m_own_demands;
    demands_map m_zone_demands;
    std::optional<demands_map> m_reported_zone_demands;
    demands_map m_other_zones_demands;
};

/// Bounds the operations that may be admitted for an account: in any interval of length `window` at most
/// rate x window + burst, plus a tolerance for the error of distributed counting.
struct rate_bounds {
    duration window = std::chrono::seconds(5);
    double tolerated_share = 0.1;     ///< Tolerance as a fraction of the operations that the window allows.
    double tolerated_operations = 20; ///< Further tolerance, in operations per window.
};

/// Operations and tokens of one client account at one VM.
struct rate_use {
    std::size_t admitted = 0; ///< Operations that received a token.
    std::size_t refused = 0;  ///< Operations that were refused.
    std::size_t borrowed = 0; ///< Tokens that peers granted.
    std::size_t lent = 0;     ///< Tokens that were granted to peers.
};

/// Called without a value when an operation is admitted, and otherwise with the time after which a token is
/// expected to be available.
using admission_callback = std::function<void(std::optional<duration>)>;

/// Admits operations within the rate and burst of their client account, which apply to the whole fleet. Each
/// VM holds a share of the rate. When its tokens run out, it requests tokens from the lenders of the account
/// and from the zone peer that published the most tokens. A lender subtracts tokens before it sends them,
/// so that no token is used twice.
class rate_shares : public service {
public:
    static constexpr std::string_view service_name = "rate_shares";

    rate_shares(kernel& kernel, rate_bounds bounds) : m_kernel(kernel), m_bounds(bounds) {}

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Takes one token for an operation of the account. Calls `done` either before returning or after peers
    /// have answered.
    void take(std::string const& client_account, admission_callback done);

    /// Returns the demands to publish now. Must be called once in each report period. The returned demands
    /// take effect in the division of rates from the next period on, when the peers have received them.
    std::vector<account_demand> publish(duration period);

    /// Recomputes the shares of all accounts. Called when the set of VMs in contact has changed.
    void divide();

    /// Sets how long a peer or zone counts as in contact after its last report.
    void set_report_lifetime(duration lifetime) { m_report_lifetime = lifetime; }

    /// Records the demands and token counts in the report of another VM of this zone.
    void handle_vm_report(std::string const& peer, vm_report const& report);

    /// Records the demands in the report of a zone, which may be this VM's own. `vms` are the names of the
    /// zone's VMs.
    void handle_zone_report(zone_report const& report, std::vector<std::string> const& vms);

    /// Returns the sums of the demands that this VM and the zone peers in contact have published.
    std::vector<zone_demand> zone_demands() const;

private:
    struct waiting_operation {
        monotonic_time since;
        admission_callback done;
    };

    struct bucket {
        double tokens = 0;
        monotonic_time refilled_at;  ///< Time up to which tokens have been added.
        std::size_t arrivals = 0;    ///< Number of operations since the last publication.
        /// What happened to operations and tokens since the last publication.
        rate_use use;
        double demand = 0;           ///< Smoothed number of operations per second.
        double published_demand = 0; ///< Demand that the peers have received, in operations per second.
        double share = 0;            ///< Share of the account's rate that this VM uses.
        std::string fleet_lender;    ///< Name of the VM that lends to all other VMs.
        std::string zone_lender;     ///< Name of the VM that lends to its zone peers.
        std::deque<waiting_operation> waiting;
        /// Lenders that have not answered, keyed by request number.
        std::map<std::uint64_t, std::string> requests;
        monotonic_time last_request_at; ///< Time of the latest token request.
        /// True when the fleet lender has been asked since the zone peers were last asked.
        bool has_asked_fleet_lender = false;
        /// Time before which no peer is asked again; set when the peers granted too few tokens for all
        /// waiting operations.
        monotonic_time no_request_before;
        /// Time before which the fleet lender is not asked again; set when it granted no tokens.
        monotonic_time no_fleet_lender_request_before;
    };

    struct zone_state {
        std::vector<std::string> vms;
        std::map<name_hash, double> demands; ///< Operations per second, keyed by client account.
        /// True when the zone's report lists this VM's zone as reachable.
        bool receives_from_this_vm = false;
        monotonic_time received_at;
    };

    struct peer_demands {
        std::map<name_hash, double> demands;       ///< Operations per second, keyed by client account.
        std::map<name_hash, std::uint32_t> tokens; ///< Published token count, keyed by client account.
        bool receives_from_this_vm = false; ///< True when the peer's report lists this VM as reachable.
        monotonic_time received_at;
    };

    double share_of(std::string const& client_account, bucket const& bucket) const;
    /// Sets the VMs among which the lenders are chosen to those in contact.
    void set_lenders();
    std::vector<std::string> zone_peers_in_contact() const;
    /// True when a recent report of the zone peer, or of the zone, shows that messages arrive in both
    /// directions.
    bool is_in_contact(std::string const& peer) const;
    bool is_in_contact(zone_state const& zone) const;
    bucket& bucket_of(std::string const& client_account);
    /// Returns the operations per second that an account may sustain in the whole fleet.
    double sustained_rate(account_limit const& limit) const;
    /// Returns the number of tokens that the buckets of the account may hold in the whole fleet. It bounds
    /// the operations that are admitted at once beyond the sustained rate.
    double fleet_bucket_capacity(account_limit const& limit) const;
    void refill(bucket& bucket, account_limit const& limit, monotonic_time now) const;
    bool ask_peers(std::string const& client_account, bucket& bucket);
    bool ask_zone_peers(std::string const& client_account, bucket& bucket);
    bool ask_fleet_lender(std::string const& client_account, bucket& bucket);
    void request_tokens(std::string const& lender, std::string const& client_account, bucket& bucket,
                        double demand_seconds);
    void handle_token_request(std::string const& peer, token_request const& request);
    void handle_grant(std::string const& peer, token_grant const& grant);
    void serve_waiting(std::string const& client_account, bucket& bucket);
    void refuse_waiting(std::string const& client_account, bucket& bucket);
    /// Refuses the operations that have waited for the longest allowed time.
    void refuse_overdue(std::string const& client_account, bucket& bucket);
    /// Logs and clears what happened since the last publication.
    void log_use(std::string const& client_account, bucket& bucket, duration period) const;
    void log_refusal(std::string const& client_account, bucket const& bucket, std::size_t refused) const;
    duration time_to_token(std::string const& client_account, bucket const& bucket) const;

    kernel& m_kernel;
    rate_bounds m_bounds;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, bucket> m_buckets;
    std::map<std::string, peer_demands> m_peers; ///< Zone peers, keyed by VM name.
    std::map<std::string, zone_state> m_zones;   ///< Keyed by availability zone.
    duration m_report_lifetime = std::chrono::seconds(3);
    rate_division m_division;
    lender_choice m_zone_lenders;
    lender_choice m_fleet_lenders;
    monotonic_time m_started_at;
    std::uint64_t m_next_number = 1;
};

} // namespace greengagehitch
