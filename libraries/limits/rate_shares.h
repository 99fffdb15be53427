#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_state.h"
#include "kernel/kernel.h"
#include "limits/lease_vote.h"
#include "limits/lender_lease.h"
#include "limits/lender_requests.h"
#include "limits/rate_bounds.h"
#include "limits/rate_contacts.h"
#include "limits/rate_use.h"
#include "limits/return_schedule.h"
#include "limits/token_balance.h"
#include "membership/membership_service.h"

namespace greengagehitch {

/// Called without a value when an operation is admitted, and otherwise with the time after which a token is
/// expected to be available.
using admission_callback = std::function<void(std::optional<duration>)>;

/// Admits operations within the rate and burst of their client account, which apply to the whole fleet. The
/// lenders of the account own its rate. A VM that has no token requests as many as it needs from the lender
/// of its zone, which requests what it lacks from the lender of the fleet; that one requests what it lacks
/// from the lenders of other zones. A lender keeps a request that it cannot serve until tokens accrue, so
/// that none is left unused while an operation waits. It subtracts tokens before it sends them, so that no
/// token is used twice.
///
/// A lender uses its own tokens only while it has a lease, for which it needs the votes of a majority of the
/// VMs that would take its role. Once the votes for a lender that is lost have ended, the next of them
/// takes its place. A lender that is cut off has no lease by then.
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
    void set_report_lifetime(duration lifetime) { m_contacts->set_report_lifetime(lifetime); }

    /// Records the demands in the report of another VM of this zone.
    void handle_vm_report(std::string const& peer, vm_report const& report);

    /// Records the demands in the report of a zone, which may be this VM's own. `vms` are the names of the
    /// zone's VMs.
    void handle_zone_report(zone_report const& report, std::vector<std::string> const& vms);

    /// Returns the sums of the demands that this VM and the zone peers in contact have published.
    std::vector<zone_demand> zone_demands() const;

    /// Adds the ages of the processes of this zone to its report.
    void add_uptimes(zone_report& report) const { m_contacts->add_uptimes(report); }
    /// Age of this process in milliseconds.
    std::uint32_t uptime_ms() const { return m_contacts->uptime_ms(); }

    /// Number of zone peers whose reports are kept.
    std::size_t known_peers() const { return m_contacts->known_peers(); }

private:
    struct waiting_operation {
        monotonic_time since;
        admission_callback done;
    };

    /// Request of a peer that waits for tokens to accrue.
    struct waiting_request {
        std::string peer;
        std::uint64_t number = 0;
        std::uint32_t wanted = 0;
        monotonic_time since;
    };

    struct bucket {
        explicit bucket(monotonic_time now) : balance(now) {}

        token_balance balance;
        std::size_t arrivals = 0;    ///< Number of operations since the last publication.
        double demand = 0;           ///< Smoothed number of operations per second.
        double published_demand = 0; ///< Demand that the peers have received, in operations per second.
        double pace = 0;             ///< Operations per second that were admitted recently.
        double share = 0;            ///< Share of the account's rate that this VM owns.
        rate_use use;                ///< Since the last publication.
        rate_use total_use;          ///< Before the last publication.
        return_schedule returns;
        std::deque<waiting_operation> waiting;
        std::deque<waiting_request> peer_requests;
        /// Requests of other zones' lenders for surplus, which wait for the lease.
        std::deque<waiting_request> surplus_requests;
        lender_requests requests;
        lease_vote vote;
        lender_lease lease;
        /// True when this VM has the roles of the zone lender, which is lost. It has them by its lease.
        bool replaces_lender = false;
        /// Time of the next scheduled look at the waiting operations and requests.
        std::optional<monotonic_time> check_at;
    };

    bucket& bucket_of(std::string const& client_account);
    account_limit const* limit_of(std::string const& client_account) const;
    /// Lets tokens accrue by the share of this VM from the time `from` on.
    void set_supply(std::string const& client_account, bucket& bucket, monotonic_time from);
    /// After a restart of all VMs, restores the tokens that accrued since, while the VMs did not know of one
    /// another.
    void recover_tokens();
    /// Hands the lender roles over once this VM shuts down.
    void divide_if_leaving();
    /// Recomputes the share of this VM.
    void update_share(std::string const& client_account, bucket& bucket);

    /// Zone lender of the account, or the VM that takes its place when it does not answer.
    std::string acting_zone_lender(std::string const& client_account, bucket const& bucket);
    std::string acting_fleet_lender(std::string const& client_account, bucket const& bucket);
    /// True when peers request tokens from this VM when the first choice for a lender does not answer.
    bool is_second_choice(std::string const& client_account, bool is_zone_peer);
    /// Requests votes when this VM needs a lease to use its own tokens.
    void update_lease(std::string const& client_account, bucket& bucket);
    void handle_vote_request(std::string const& peer, token_request const& request);
    /// Handles the answer to a request for a vote that was sent at `sent_at`.
    void handle_vote(std::string const& peer, bucket& bucket, token_grant const& answer,
                     monotonic_time sent_at);
    /// Gives the roles of the zone lender back.
    void stop_replacing(std::string const& client_account, bucket& bucket);
    /// Ends the votes for this VM, which stops using its own tokens.
    void release_lease(std::string const& client_account, bucket& bucket);
    /// True when a process that ran before this one may have given a vote that has not ended.
    bool may_have_voted() const { return m_kernel.now() - m_started_at < vote_length; }

    /// Gives tokens to the operations that wait here, then to peers, and requests what is still missing.
    void serve(std::string const& client_account, bucket& bucket);
    void serve_operations(bucket& bucket);
    void serve_peers(std::string const& client_account, bucket& bucket);
    void serve_surplus(std::string const& client_account, bucket& bucket);
    /// Queues a request, in place of an earlier one of the same peer, which no longer waits for its answer.
    void add_request(std::deque<waiting_request>& requests, std::string const& peer,
                     token_request const& request) const;
    void schedule_check(std::string const& client_account, bucket& bucket);
    /// Returns the tokens that the operations and peers waiting here lack.
    double missing_tokens(bucket& bucket) const;

    /// Requests missing tokens from the next lender. Returns whether a request is unanswered.
    bool ask_lenders(std::string const& client_account, bucket& bucket);

    void handle_token_request(std::string const& peer, token_request const& request);
    void handle_grant(std::string const& peer, token_grant const& grant);
    void grant(std::string const& client_account, bucket& bucket, waiting_request const& request,
               double kept);

    void refuse_waiting(std::string const& client_account, bucket& bucket);
    /// Refuses the operations that have waited for the longest allowed time.
    void refuse_overdue(std::string const& client_account, bucket& bucket);
    void refuse(std::string const& client_account, bucket& bucket,
                std::vector<waiting_operation> const& operations);
    void log_replacement(std::string const& client_account, std::string const& lender);
    void log_refusal(std::string const& client_account, bucket& bucket, std::size_t refused);
    /// Logs what happened since the last publication if an operation or a peer was refused.
    void log_use(std::string const& client_account, bucket& bucket, duration period);
    /// Logs a message of a peer that is ignored, up to a number of lines.
    void log_ignored(std::string const& peer, std::string const& client_account, std::uint32_t tokens,
                     std::string_view reason);

    kernel& m_kernel;
    rate_bounds m_bounds;
    fleet_state* m_fleet = nullptr;
    membership_service* m_membership = nullptr;
    std::map<std::string, bucket> m_buckets;
    std::optional<rate_contacts> m_contacts; ///< Set when the service starts.
    monotonic_time m_started_at;
    std::uint64_t m_next_number = 1;
    bool m_was_leaving = false;
    bool m_has_recovered = false; ///< True once the tokens were restored after a restart of all VMs.
    std::size_t m_ignored_messages = 0;
};

} // namespace greengagehitch
