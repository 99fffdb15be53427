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
#include "wire/short_names.h"

namespace greengagehitch {

/// Part of a client account's rate that one VM may use, computed from demands that all VMs publish. VMs that
/// hear each other divide by demand, and leave a part to the account's home, which lends to whoever runs out;
/// one that is not heard keeps an equal part, and takes no more than that itself. A VM uses its own demand
/// only as it was published, so that all compute from the same figures.
class rate_division {
public:
    /// Forgets all demands and sets the size of the fleet, this VM included.
    void reset(std::size_t fleet_size);

    /// Adds this VM's or a heard peer's published demand, by client account.
    void add_own(std::map<short_name, double> const& demands);
    void add_peer(std::map<short_name, double> const& demands);

    /// Part of the account's rate in [0, 1], at its home or elsewhere.
    double part_of(std::string const& client_account, bool is_home) const;

private:
    std::size_t m_fleet_size = 1;
    std::size_t m_heard = 1;
    std::map<short_name, double> m_own;
    std::map<short_name, double> m_total;
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

    /// Takes in a peer's report.
    void take_report(std::string const& peer, vm_report const& report);

private:
    struct waiting_operation {
        std::uint64_t number = 0;
        admission_callback done;
    };

    struct bucket {
        double tokens = 1;
        monotonic_time updated;
        std::size_t arrivals = 0; ///< Since the last publication.
        double demand = 0;        ///< Operations in a second, smoothed.
        double published = 0;
        double part = 0;  ///< Of the account's rate.
        std::string home; ///< VM that lends to the others.
        std::deque<waiting_operation> waiting;
        std::map<std::uint64_t, std::string> requests; ///< Peers that were asked and have not answered.
        monotonic_time no_request_before;              ///< After a round that brought nothing.
    };

    struct peer_demands {
        std::map<short_name, double> demands;
        std::map<short_name, std::uint32_t> tokens; ///< Stock that the peer published.
        bool hears_us = false;
        monotonic_time heard_at;
    };

    double part_of(std::string const& client_account, bucket const& bucket) const;
    std::string choose_home(std::string const& client_account) const;
    bool is_heard(std::string const& peer) const;
    bucket& bucket_of(std::string const& client_account);
    /// Operations in a second that an account may keep up, over the fleet.
    double lasting_rate(account_limit const& limit) const;
    /// Operations that an account may have at once beyond its lasting rate, over the fleet.
    double most_stock(account_limit const& limit) const;
    void refill(bucket& bucket, account_limit const& limit, monotonic_time now) const;
    bool ask_peers(std::string const& client_account, bucket& bucket);
    void answer_request(std::string const& peer, token_request const& request);
    void take_grant(std::string const& peer, token_grant const& grant);
    void serve_waiting(std::string const& client_account, bucket& bucket);
    void refuse_waiting(std::string const& client_account, bucket& bucket);
    duration time_to_token(std::string const& client_account, bucket const& bucket) const;

    kernel& m_kernel;
    rate_counting m_counting;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, bucket> m_buckets;
    std::map<std::string, peer_demands> m_peers;
    duration m_report_lifetime = std::chrono::seconds(3);
    rate_division m_division;
    monotonic_time m_started_at;
    std::uint64_t m_next_number = 1;
};

} // namespace greengagehitch
