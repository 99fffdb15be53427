#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "brokers/broker_service.h"
#include "brokers/promotion_guard.h"
#include "failover/failover_lock.h"
#include "kernel/kernel.h"
#include "members/group_registry.h"

namespace greengagehitch {

/// Finds out whether an order to promote another member may still replace a leader that may have been away.
///
/// The row of the failover lock tells, since each order follows a claim there. If the store does not answer,
/// the other members tell: a takeover stops all replicas before it orders one of them to lead, and lets them
/// receive again only if no order is outstanding. A replica that has restarted since has forgotten the stop,
/// so that all of them have to answer.
class order_lookup {
public:
    using result_callback = promotion_guard::lookup_callback;

    struct dependencies {
        kernel& core;
        failover_lock& lock;
        group_registry& groups;
        broker_service& brokers;
        /// Returns whether the store has confirmed something to this VM a short time ago.
        std::function<bool()> has_store;
        /// Returns whether this VM knows an order of the group without an answer. Another VM may have settled
        /// it since, which the store tells.
        std::function<bool(std::string const& group)> knows_order;
    };

    explicit order_lookup(dependencies dependencies) : m_dependencies(std::move(dependencies)) {}

    /// Calls `done` once.
    void run(std::string const& group, std::string const& leader, result_callback done);

private:
    struct search;

    void ask_members(std::shared_ptr<search> const& current);
    void finish_with_claim(search& current, std::optional<lock_claim> const& claim);
    void finish(search& current, promotion_guard::lookup_result const& result, std::string_view source,
                Json::Value fields = Json::Value(Json::objectValue));

    dependencies m_dependencies;
};

} // namespace greengagehitch
