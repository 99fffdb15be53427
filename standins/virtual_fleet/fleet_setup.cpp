#include "fleet_setup.h"

#include <fmt/format.h>

#include "keys/key_service.h"

namespace greengagehitch::standin {

fleet_setup make_setup(deployment_shape const& shape, std::size_t accounts, double rate, double burst)
{
    fleet_setup setup;
    std::string databases;
    std::string names;
    for (std::size_t i = 0; i < shape.databases; ++i) {
        databases += fmt::format("  db-{}: {{}}\n", i + 1);
        names += fmt::format("{}db-{}", i == 0 ? "" : ", ", i + 1);
    }
    setup.document = "databases:\n" + databases + "classes:\n";
    auto const add_class = [&setup, &names](std::string const& name, std::string const& fields) {
        setup.document += fmt::format("  {}: {{databases: [{}], {}}}\n", name, names, fields);
    };
    add_class("bookings", "access: write, repeatable: true, delay: 2s");
    add_class("deposits", "access: write, repeatable: false, delay: 2s");
    add_class("own_reads", "access: read, freshness: read_your_writes, delay: 500ms");
    add_class("reads_1s", "access: read, freshness: 1s, delay: 500ms");
    add_class("reads_10s", "access: read, freshness: 10s, delay: 500ms");
    add_class("ponds", "access: read, freshness: 10s, delay: 500ms, open_to_all: true");
    setup.document += "client_accounts:\n";
    for (std::size_t i = 0; i < accounts; ++i) {
        auto const name = account_name(i);
        setup.document += fmt::format("  {}: {{rate: {}, burst: {}}}\n", name, rate, burst);
        caller_key const key{fmt::format("key{}", i), fmt::format("secret{}", i)};
        setup.keys.push_back({key.id, name, "00ff", compute_key_digest("00ff", key.secret)});
        setup.key_of_account[name] = key.to_string();
    }
    return setup;
}

std::string account_name(std::size_t number)
{
    return fmt::format("account-{}", number + 1);
}

} // namespace greengagehitch::standin
