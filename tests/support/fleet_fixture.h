#pragma once

#include <optional>
#include <string>
#include <variant>

#include "fleet_setup.h"
#include "virtual_fleet.h"

namespace greengagehitch::standin {

/// Virtual fleet with an active configuration, and calls that wait for their answers.
class fleet_fixture {
public:
    explicit fleet_fixture(std::uint64_t seed = 1, deployment_shape const& shape = umuganda_shape(),
                           double rate = 1e6)
        : setup(make_setup(shape, 8, rate, rate)), fleet(shape, seed)
    {
        fleet.store_configuration(setup.document, setup.keys);
        fleet.start_all();
        fleet.clock().run_for(std::chrono::seconds(3));
    }

    std::string const& key(std::size_t account = 0) const
    {
        return setup.key_of_account.at(account_name(account));
    }

    caller_request request(std::string const& class_name, std::string const& sql,
                           std::vector<parameter> parameters = {}) const
    {
        caller_request result;
        result.class_name = class_name;
        result.key = key();
        result.statements.push_back({sql, std::move(parameters)});
        return result;
    }

    caller_request write(std::string const& name, int value) const
    {
        return request("bookings", "insert into entries (name, value) values ($1, $2)",
                       {name, std::to_string(value)});
    }

    caller_request deposit(std::string const& id, int value) const
    {
        auto result = write(id, value);
        result.class_name = "deposits";
        result.request_id = id;
        return result;
    }

    caller_request read(std::string const& name, std::string const& session,
                        std::string const& class_name = "own_reads") const
    {
        auto result = request(class_name, "select value from entries where name = $1", {name});
        result.session = session;
        return result;
    }

    /// Sends a request to a VM and runs the fleet until the response arrives. Returns nothing if there is no
    /// response within `timeout`.
    std::optional<caller_response> call(std::size_t vm, caller_request const& outgoing,
                                        duration timeout = std::chrono::seconds(15))
    {
        std::optional<caller_response> answer;
        fleet.call(vm, outgoing, [&answer](caller_response const& response) { answer = response; });
        auto const end = fleet.clock().now() + timeout;
        while (!answer && fleet.clock().now() < end) {
            fleet.clock().run_for(std::chrono::milliseconds(1));
        }
        return answer;
    }

    /// Sends a request and returns its answer, or an empty answer if the request is refused or times out.
    caller_answer get_answer(std::size_t vm, caller_request const& outgoing)
    {
        auto const response = call(vm, outgoing);
        return response && std::holds_alternative<caller_answer>(*response)
                   ? std::get<caller_answer>(*response)
                   : caller_answer();
    }

    /// Sends a request and returns its refusal, or a default refusal if the request succeeds or times out.
    refusal get_refusal(std::size_t vm, caller_request const& outgoing)
    {
        auto const response = call(vm, outgoing);
        return response && std::holds_alternative<refusal>(*response) ? std::get<refusal>(*response)
                                                                      : refusal{};
    }

    /// Returns how many inserts of rows with this name the log of the current primary contains.
    std::size_t count_entries(std::string const& database, std::string const& name)
    {
        std::size_t count = 0;
        auto& group = fleet.databases().group(database);
        group_member* primary = nullptr;
        for (std::size_t i = 0; i < group.size(); ++i) {
            auto& member = group.member(i);
            if (member.is_primary() && (primary == nullptr || member.term() > primary->term())) {
                primary = &member;
            }
        }
        for (auto const& entry : primary->log()) {
            for (auto const& each : entry->statements) {
                auto const is_insert = each.sql.starts_with("insert into entries");
                count += is_insert && each.parameters.front() == name ? 1 : 0;
            }
        }
        return count;
    }

    fleet_setup setup;
    virtual_fleet fleet;
};

} // namespace greengagehitch::standin
