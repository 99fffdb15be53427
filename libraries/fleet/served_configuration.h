#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/enum_names.h"
#include "base/time.h"

namespace greengagehitch {

/// Which commits a read of a class must see.
enum class read_consistency {
    every_commit, ///< All that were acknowledged before it.
    bounded_age,  ///< Those acknowledged longer ago than the class's age.
    own_writes,   ///< As bounded_age, and all of its own session.
};

inline constexpr std::array read_consistency_names{
    enum_name<read_consistency>{read_consistency::every_commit, "every_commit"},
    enum_name<read_consistency>{read_consistency::bounded_age, "bounded_age"},
    enum_name<read_consistency>{read_consistency::own_writes, "own_writes"},
};

/// Class of work under the database name that callers open it by.
struct served_class {
    std::string name;
    std::string database; ///< Name that callers give.
    std::string group;    ///< Database group that serves it.
    read_consistency consistency = read_consistency::every_commit;
    duration max_data_age{};      ///< Of data that a read may see; 0 for every_commit.
    duration statement_timeout{}; ///< For one statement.
    duration latency_target{};    ///< For the whole operation.
    int priority = 0;             ///< 0 goes first.
    bool is_open_to_all = false;
};

/// Rate of a client account over the whole fleet.
struct account_limit {
    double rate = 0;  ///< Operations in a second.
    double burst = 0; ///< Operations at once.
};

struct group_limits {
    std::size_t max_connections = 0; ///< To each member, of all VMs together.
    std::size_t synchronous_replicas = 0;
};

/// One version of what operators configured, as the platform hands it out.
struct served_configuration {
    std::uint64_t version = 0;
    std::map<std::string, served_class> classes;       ///< By database name.
    std::map<std::string, std::string> account_of_key; ///< Names of client accounts by key.
    std::map<std::string, account_limit> limits;       ///< By client account; accounts without one are free.
    std::map<std::string, group_limits> groups;
    duration transaction_idle_limit = std::chrono::seconds(3);
};

} // namespace greengagehitch
