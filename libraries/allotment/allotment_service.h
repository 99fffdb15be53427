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

/// Answer to a request for tokens: empty when they were given, otherwise the time after which to try again.
using token_callback = std::function<void(std::optional<duration>)>;

/// Splits amounts over the fleet: each VM owns a share by a grant in the platform's table, bound to its
/// incarnation, and shares move directly between peers as loans, to where the demand is. The sum of all
/// shares never exceeds the whole, whatever is lost, paused, doubled or cut off.
class allotment_service : public service {
public:
    static constexpr std::string_view service_name = "allotments";

    allotment_service(kernel& kernel, platform_hooks const& platform) : m_kernel(kernel), m_platform(platform)
    {
    }

    std::string_view name() const override { return service_name; }
    void start() override;
    Json::Value dump() const override;

    /// Makes an allotment known, or changes its rate and burst.
    void configure(std::string const& allotment, double rate, double burst);

    /// Forgets allotments that are not in `names`.
    void remove_all_except(std::vector<std::string> const& names);

    /// Takes one token. When there is none here, peers are asked, and `done` comes within the wait limit.
    void take(std::string const& allotment, token_callback done);

    /// Gives back all that this VM owns; called when it leaves.
    void release_grants();

private:
    struct waiting_request {
        monotonic_time since;
        token_callback done;
    };

    /// What a peer said last about an allotment.
    struct peer_hint {
        double tokens = 0;
        monotonic_time received_at;
    };

    struct open_request {
        std::string peer;
        monotonic_time requested_at;
    };

    struct allotment {
        explicit allotment(monotonic_time now) : bucket(now), created_at(now) {}

        std::string name;
        shared_bucket bucket;
        monotonic_time created_at;
        std::deque<waiting_request> waiting;
        double demand = 0;           ///< Requests in a second, smoothed.
        double long_term_demand = 0; ///< The same over some seconds.
        std::uint64_t arrivals = 0;  ///< Since the last tick.
        std::map<std::string, peer_hint> hints;
        std::map<std::uint64_t, open_request> open_requests;
        std::map<std::string, std::uint64_t>
            last_request_numbers; ///< Highest request number of each peer's incarnation.
        std::optional<monotonic_time> requested_at;
        duration request_interval{};
        bool has_timer = false;
        bool is_grant_pending = false;
        bool has_grant = false;
        monotonic_time next_grant_attempt;
    };

    using holder_table = std::map<std::string, std::pair<std::uint64_t, share>>;

    void tick();
    void detect_pause();
    void serve_waiting(allotment& entry);
    void schedule_check(allotment& entry);
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
    void update_absent_vms();

    kernel& m_kernel;
    platform_hooks const& m_platform;
    membership_service* m_membership = nullptr;
    std::map<std::string, std::unique_ptr<allotment>> m_allotments;
    std::map<std::string, monotonic_time> m_absent_since; ///< VMs that the platform no longer lists.
    std::uint64_t m_next_number = 1;
    monotonic_time m_started_at;
    std::optional<monotonic_time> m_last_tick;
    monotonic_time m_next_store_call;
};

} // namespace greengagehitch
