#include <map>
#include <memory>

#include <criterion/criterion.h>

#include "allotment/allotment_service.h"
#include "kernel/event_loop.h"

using namespace std::chrono_literals;
using namespace greengagehitch;

namespace {

constexpr auto row_key = "allotments/rates/account";

/// Allotments of one VM with a platform that holds the rows in memory.
class allotment_fixture {
public:
    allotment_fixture() : m_core(make_kernel_hooks()), m_platform(make_platform_hooks())
    {
        m_core.add(std::make_unique<membership_service>(
            m_core, m_platform, vm_identity{"vm-1", "a", {"10.0.0.1", 1}, 7, 1}, peer_codec("secret"),
            [](endpoint const&, std::string const&) {}));
        m_core.add(std::make_unique<allotment_service>(m_core, m_platform));
        m_core.start();
        allotments().configure("rates/account", 100, 100);
    }

    allotment_service& allotments()
    {
        return m_core.find<allotment_service>(allotment_service::service_name);
    }

    void shut_down()
    {
        m_core.find<membership_service>(membership_service::service_name).set_leaving();
        allotments().release_grants();
    }

    void set_row(std::string const& value) { m_rows[row_key] = {row_key, value, 1}; }
    std::string const& row() { return m_rows[row_key].value; }
    bool has_grant() { return allotments().dump()["rates/account"]["has_grant"].asBool(); }
    std::size_t warnings() const { return m_warnings; }

    void run_for(duration length)
    {
        auto const end = m_now + length;
        while (m_loop.next_due() && *m_loop.next_due() <= end) {
            m_loop.run_next([this](monotonic_time due) { m_now = std::max(m_now, due); });
        }
        m_now = end;
    }

private:
    kernel_hooks make_kernel_hooks()
    {
        kernel_hooks hooks;
        hooks.now = [this] { return m_now; };
        hooks.random = [] { return std::uint64_t{0}; };
        hooks.start_timer = [this](duration delay, std::function<void()> callback) {
            return m_loop.start_timer(m_now + delay, std::move(callback));
        };
        hooks.cancel_timer = [this](timer_id timer) { m_loop.cancel_timer(timer); };
        hooks.log = [this](log_record const& record) {
            m_warnings += record.level == log_level::warning ? 1 : 0;
        };
        return hooks;
    }

    platform_hooks make_platform_hooks()
    {
        platform_hooks hooks;
        hooks.read_row = [this](std::string const& key, auto const& done) {
            auto const found = m_rows.find(key);
            done(found == m_rows.end() ? std::nullopt : std::optional(found->second));
        };
        hooks.put_row = [this](std::string const& key, std::uint64_t version, std::string const& value,
                               auto const& done) {
            m_rows[key] = {key, value, version + 1};
            done(version + 1);
        };
        hooks.list_vms = [](auto const& done) {
            done(std::vector<vm_record>{{"vm-1", "a", "10.0.0.1", 1}, {"vm-2", "a", "10.0.0.2", 1}});
        };
        return hooks;
    }

    monotonic_time m_now{1h};
    event_loop m_loop;
    std::map<std::string, table_row> m_rows;
    std::size_t m_warnings = 0;
    kernel m_core;
    platform_hooks m_platform;
};

} // namespace

/// Failure: a grant is a number, not an object, so reading it throws and ends the process.
Test(allotment_service, malformed_row_is_left_alone_and_logged)
{
    for (auto const* const value : {R"({"vm-2":5})", R"({"vm-2":{"incarnation":"x","share":10}})",
                                    R"({"vm-2":{"incarnation":1,"share":-10}})",
                                    R"({"vm-2":{"incarnation":-1,"share":10}})", "[]", "no JSON"}) {
        allotment_fixture fixture;
        fixture.set_row(value);
        fixture.run_for(5s);
        cr_assert(!fixture.has_grant());
        cr_assert(fixture.row() == value);
        cr_assert(fixture.warnings() > 0);
    }
}

/// Failure: the grants of a row sum to more than the whole, and each VM that reads it ends.
Test(allotment_service, row_above_the_full_share_is_left_alone_and_logged)
{
    allotment_fixture fixture;
    std::string const value =
        R"({"vm-2":{"incarnation":1,"share":600000},"vm-3":{"incarnation":1,"share":600000}})";
    fixture.set_row(value);
    fixture.run_for(5s);
    cr_assert(!fixture.has_grant());
    cr_assert(fixture.row() == value);
    cr_assert(fixture.warnings() > 0);
}

/// Failure: a VM shuts down and starts again; the delayed removal by its former process takes the new grant.
Test(allotment_service, late_removal_keeps_the_grant_of_a_newer_incarnation)
{
    allotment_fixture fixture;
    fixture.run_for(5s);
    cr_assert(fixture.has_grant());
    fixture.shut_down();
    std::string const value = R"({"vm-1":{"incarnation":8,"share":500000}})";
    fixture.set_row(value);
    fixture.run_for(5s);
    cr_assert(fixture.row() == value);
}
