#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// Which commits a read must observe.
enum class read_consistency {
    every_commit, ///< All commits that were acknowledged before the read started.
    bounded_age,  ///< Commits that were acknowledged at least the class's `max_data_age` ago.
    own_writes,   ///< As bounded_age, and all commits of the read's own session.
};

inline constexpr std::array read_consistency_names{
    enum_name<read_consistency>{read_consistency::every_commit, "every_commit"},
    enum_name<read_consistency>{read_consistency::bounded_age, "bounded_age"},
    enum_name<read_consistency>{read_consistency::own_writes, "own_writes"},
};

/// Class of work, which callers select by the name of the database that they open.
struct served_class {
    std::string name;
    std::string database; ///< Name of the database that callers open.
    std::string group;    ///< Database group that serves the class.
    read_consistency consistency = read_consistency::every_commit;
    duration max_data_age{};      ///< Greatest age of the data that a read may return; 0 for every_commit.
    duration statement_timeout{}; ///< Time limit for one statement.
    duration latency_target{};    ///< Latency target of a whole request.
    int priority = 0;             ///< Lower values are served first; 0 is the highest priority.
    bool is_open_to_all = false;  ///< True when callers need no API key to use the class.
    /// Reason why statements of the class cannot be sent to members; empty if they can.
    std::string refusal;
};

/// Limits of a client account, which apply to the whole fleet.
struct account_limit {
    double rate = 0;  ///< Sustained operations per second.
    double burst = 0; ///< Operations that may be admitted at once beyond the rate.
};

/// Limits of a database group.
struct group_limits {
    std::size_t max_connections = 0;      ///< Connections to each member from all VMs together.
    std::size_t synchronous_replicas = 0; ///< Configured number of synchronous replicas.
    duration warm_up_time{};              ///< Time after its start for which a member is slow; 0 for none.
    double warm_up_rate = 0;              ///< Requests per second that a member accepts while it warms up.
};

/// One version of the operators' configuration, as read from the platform.
struct served_configuration {
    std::uint64_t version = 0;
    std::map<std::string, served_class> classes;       ///< Keyed by database name.
    std::map<std::string, std::string> account_of_key; ///< Client account names, keyed by API key.
    std::map<std::string, account_limit> limits;       ///< Keyed by client account; others are unlimited.
    std::map<std::string, group_limits> groups;        ///< Keyed by database group.
    /// Reasons why statements of client accounts cannot be sent to members; other accounts have no entry.
    std::map<std::string, std::string> refused_accounts;
    duration transaction_idle_limit = std::chrono::seconds(3); ///< Longest idle time of an open transaction.

    /// Returns the reason why statements of the account cannot be sent to members of the class, or an empty
    /// text if they can.
    std::string find_refusal(served_class const& work, std::string const& client_account) const
    {
        auto const refused = refused_accounts.find(client_account);
        return refused == refused_accounts.end() ? work.refusal : refused->second;
    }
};

} // namespace greengagehitch
