#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "allotment/shared_bucket.h"
#include "kernel/kernel.h"
#include "membership/membership_service.h"
#include "platform/platform_hooks.h"

namespace greengagehitch {

/// Receives the result of a request for tokens: empty when they were granted, otherwise the time after which
/// to retry.
using token_callback = std::function<void(std::optional<duration>)>;

/// Divides rate limits over the VMs of the fleet. Each VM owns a share of an allotment by a grant in the
/// platform's table, which is bound to the VM's incarnation. Peers lend shares directly to each other, so
/// that shares move to where the demand is. The sum of all shares never exceeds the full amount, even when
/// messages are lost or duplicated, or VMs are paused or cut off.
class allotment_service : public service {
public:
    static constexpr std::string_view service_name = "allotments";

    allotment_service(kernel& kernel, platform_hooks const& platform) : m_kernel(kernel), m_platform(platform)
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Adds an allotment, or changes its rate (requests per second) and burst (requests).
    void configure(std::string const& allotment, double rate, double burst);

    /// Removes all allotments that are not in `names` and have no waiting requests.
    void remove_all_except(std::vector<std::string> const& names);

    /// Takes one token. If this VM has none, it requests loans from peers, and `done` is called within
    /// `max_token_wait`.
    void take(std::string const& allotment, token_callback done);

    /// Releases all grants of this VM; called when the VM shuts down.
    void release_grants();

private:
    /// Request that waits for a token.
    struct waiting_request {
        monotonic_time since;
        token_callback done;
    };

    /// State of an allotment that a peer reported last.
    struct peer_hint {
        double tokens = 0; ///< Tokens that the peer had left.
        monotonic_time received_at;
    };

    /// Request for a loan that has no response yet.
    struct pending_request {
        std::string peer;
        monotonic_time requested_at;
    };

    struct allotment {
        explicit allotment(monotonic_time now) : bucket(now), created_at(now) {}

        std::string name;
        shared_bucket bucket;
        monotonic_time created_at;
        std::deque<waiting_request> waiting;
        double demand = 0;           ///< Demand in requests per second, as a short-term average.
        double long_term_demand = 0; ///< Demand in requests per second, averaged over some seconds.
        std::uint64_t arrivals = 0;  ///< Number of requests since the last tick.
        std::map<std::string, peer_hint> hints;                    ///< Keyed by VM name.
        std::map<std::uint64_t, pending_request> pending_requests; ///< Keyed by request number.
        /// Highest request number received from each peer, keyed by VM name and incarnation.
        std::map<std::string, std::uint64_t> last_request_numbers;
        std::optional<monotonic_time> requested_at; ///< Time of the last request for loans.
        duration request_interval{};
        bool has_serve_timer = false;
        bool is_grant_pending = false;
        bool has_grant = false;
        monotonic_time next_grant_attempt;
    };

    /// Incarnation and granted share of each VM, keyed by VM name.
    using holder_table = std::map<std::string, std::pair<std::uint64_t, share>>;

    void tick();
    void detect_pause();
    void serve_waiting(allotment& entry);
    void schedule_serve_waiting(allotment& entry);
    void request_loans(allotment& entry, bool is_urgent);
    static std::vector<loan_key> loans_to_prolong(allotment const& entry, monotonic_time now);
    std::vector<std::string> choose_lenders(allotment const& entry, std::size_t count);
    void answer_request(peer_state const& peer, share_request const& request);
    void handle_transfer(peer_state const& peer, share_transfer const& transfer);
    static double idle_tokens_to_transfer(allotment& entry, share_request const& request, monotonic_time now);
    static share amount_to_lend(allotment& entry, share_request const& request, monotonic_time now);
    static double tokens_to_transfer(allotment& entry, share_request const& request, share amount,
                                     monotonic_time now);
    duration retry_after(allotment& entry);

    void request_grant(allotment& entry);
    void handle_grant_row(std::string const& name, std::optional<table_row> const& row);
    void put_grant(std::string const& name, std::uint64_t row_version, holder_table const& holders,
                   share owned);
    void remove_own_grant(std::string const& name);
    /// Logs a row that cannot be used, once for each of its versions.
    void log_invalid_row(std::string const& name, std::uint64_t version, absl::Status const& reason);
    void update_absent_vms();

    kernel& m_kernel;
    platform_hooks const& m_platform;
    membership_service* m_membership = nullptr;
    std::map<std::string, std::unique_ptr<allotment>> m_allotments;
    /// Time since which the platform no longer lists a VM, keyed by VM name.
    std::map<std::string, monotonic_time> m_absent_since;
    /// Version of the invalid row that was logged last, keyed by allotment.
    std::map<std::string, std::uint64_t> m_invalid_versions;
    std::uint64_t m_next_number = 1; ///< Number of the next request or loan.
    monotonic_time m_started_at;
    std::optional<monotonic_time> m_last_tick;
    monotonic_time m_next_store_call;
};

} // namespace greengagehitch
